package sorrelhoist.protocol.hpack;

import java.util.HashMap;
import java.util.Map;

/** The static table of RFC 7541, Appendix A; indices from 1. */
final class StaticTable {
    private static final String[][] ROWS = {
        {":authority", ""},
        {":method", "GET"},
        {":method", "POST"},
        {":path", "/"},
        {":path", "/index.html"},
        {":scheme", "http"},
        {":scheme", "https"},
        {":status", "200"},
        {":status", "204"},
        {":status", "206"},
        {":status", "304"},
        {":status", "400"},
        {":status", "404"},
        {":status", "500"},
        {"accept-charset", ""},
        {"accept-encoding", "gzip, deflate"},
        {"accept-language", ""},
        {"accept-ranges", ""},
        {"accept", ""},
        {"access-control-allow-origin", ""},
        {"age", ""},
        {"allow", ""},
        {"authorization", ""},
        {"cache-control", ""},
        {"content-disposition", ""},
        {"content-encoding", ""},
        {"content-language", ""},
        {"content-length", ""},
        {"content-location", ""},
        {"content-range", ""},
        {"content-type", ""},
        {"cookie", ""},
        {"date", ""},
        {"etag", ""},
        {"expect", ""},
        {"expires", ""},
        {"from", ""},
        {"host", ""},
        {"if-match", ""},
        {"if-modified-since", ""},
        {"if-none-match", ""},
        {"if-range", ""},
        {"if-unmodified-since", ""},
        {"last-modified", ""},
        {"link", ""},
        {"location", ""},
        {"max-forwards", ""},
        {"proxy-authenticate", ""},
        {"proxy-authorization", ""},
        {"range", ""},
        {"referer", ""},
        {"refresh", ""},
        {"retry-after", ""},
        {"server", ""},
        {"set-cookie", ""},
        {"strict-transport-security", ""},
        {"transfer-encoding", ""},
        {"user-agent", ""},
        {"vary", ""},
        {"via", ""},
        {"www-authenticate", ""}
    };
    static final int SIZE = ROWS.length;
    private static final HeaderField[] FIELDS = new HeaderField[SIZE + 1];
    private static final Map<String, Integer> NAMES = new HashMap<>();
    private static final Map<HeaderField, Integer> WHOLE = new HashMap<>();

    static {
        for (int i = SIZE; i >= 1; i--) {
            FIELDS[i] = new HeaderField(ROWS[i - 1][0], ROWS[i - 1][1]);
            NAMES.put(FIELDS[i].name(), i);
            WHOLE.put(FIELDS[i], i);
        }
    }

    private StaticTable() {}

    static HeaderField at(int index) {
        return FIELDS[index];
    }

    /** {@return the lowest index of this name, or 0} */
    static int name(String name) {
        return NAMES.getOrDefault(name, 0);
    }

    static int field(HeaderField field) {
        return WHOLE.getOrDefault(field, 0);
    }
}

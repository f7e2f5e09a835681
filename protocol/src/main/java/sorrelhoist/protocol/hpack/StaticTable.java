package sorrelhoist.protocol.hpack;

import java.util.HashMap;
import java.util.Map;

/** The static table of RFC 7541, Appendix A. Indices start at 1. */
final class StaticTable {
    private static final String[][] ENTRIES = {
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
    static final int SIZE = ENTRIES.length;
    private static final HeaderField[] FIELDS = new HeaderField[SIZE + 1];
    private static final Map<String, Integer> INDEX_OF_NAME = new HashMap<>();
    private static final Map<HeaderField, Integer> INDEX_OF_FIELD = new HashMap<>();

    static {
        for (int i = SIZE; i >= 1; i--) {
            FIELDS[i] = new HeaderField(ENTRIES[i - 1][0], ENTRIES[i - 1][1]);
            INDEX_OF_NAME.put(FIELDS[i].name(), i);
            INDEX_OF_FIELD.put(FIELDS[i], i);
        }
    }

    private StaticTable() {}

    /** {@return the field at an index} */
    static HeaderField get(int index) {
        return FIELDS[index];
    }

    /** {@return the lowest index of a field with the name, or 0 if there is none} */
    static int indexOfName(String name) {
        return INDEX_OF_NAME.getOrDefault(name, 0);
    }

    /** {@return the index of an equal field, or 0 if there is none} */
    static int indexOf(HeaderField field) {
        return INDEX_OF_FIELD.getOrDefault(field, 0);
    }
}

package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text format of the gossip between routers. Each item consists of an endpoint's tag, a kind, a
 * class and tenant key, and a value. Routers of different versions exchange this format, so the
 * letters of the kinds must not change.
 */
final class GossipCodec {
    /** Queueing delay. Value: milliseconds beyond the expected time. */
    static final char DELAY = 'l';

    /** Failure to connect. Value: the zone of the router whose connection failed. */
    static final char UNREACHABLE = 'x';

    /** Recovery of an ejected endpoint. Value: the zone of the router that observed it. */
    static final char RECOVERED = 'w';

    /** Failed request at the endpoint. Value: the zone of the router that observed it. */
    static final char FAILED = 'e';

    /**
     * Rejection as full. Value: milliseconds for which the endpoint should be avoided for the class
     * and tenant that it rejected.
     */
    static final char FULL = 'f';

    private static final Pattern ITEM =
            Pattern.compile("([0-9a-z]{1,6}):([lxfew])([0-9]{1,6})\\.([0-9]{1,6})");
    private static final int TAG_GROUP = 1;
    private static final int KIND_GROUP = 2;
    private static final int CLASS_TENANT_GROUP = 3;
    private static final int VALUE_GROUP = 4;

    /**
     * One gossip item about an endpoint.
     *
     * @param kind one of the kind letters above
     * @param classTenantKey the class and tenant that the item concerns; 0 for all
     * @param value the kind's value
     */
    record Item(char kind, int classTenantKey, long value) {}

    private GossipCodec() {}

    static String write(Map<String, Item> items) {
        StringBuilder body = new StringBuilder();
        items.forEach(
                (tag, item) ->
                        body.append(tag)
                                .append(':')
                                .append(item.kind)
                                .append(item.classTenantKey)
                                .append('.')
                                .append(item.value)
                                .append(' '));
        return body.toString();
    }

    /**
     * Parses a message. Skips malformed items: a message may be truncated, of another version, or
     * from an untrusted sender.
     *
     * @return the items by endpoint tag, in the order of the message
     */
    static Map<String, Item> read(String body) {
        Map<String, Item> items = new LinkedHashMap<>();
        for (String part : body.split(" ")) {
            Matcher matcher = ITEM.matcher(part);
            if (matcher.matches()) {
                items.put(
                        matcher.group(TAG_GROUP),
                        new Item(
                                matcher.group(KIND_GROUP).charAt(0),
                                Integer.parseInt(matcher.group(CLASS_TENANT_GROUP)),
                                Long.parseLong(matcher.group(VALUE_GROUP))));
            }
        }
        return items;
    }
}

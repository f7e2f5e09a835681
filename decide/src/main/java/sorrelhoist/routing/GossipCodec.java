package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text form of the gossip between routers: items of an endpoint's tag, kind, class and tenant, and
 * value. Routers of different versions exchange it: its letters stay.
 */
final class GossipCodec {
    /** Value: milliseconds beyond the expected time. */
    static final char DELAY = 'l';

    /** Value: the zone from which the endpoint refused a connection. */
    static final char UNREACHABLE = 'x';

    /** It was ejected and is back; value: the zone from which. */
    static final char RECOVERED = 'w';

    /** A request failed there; value: the zone from which. */
    static final char FAILED = 'e';

    /** Value: milliseconds for which to pass it over, for the class and tenant that it rejected. */
    static final char FULL = 'f';

    private static final Pattern ITEM =
            Pattern.compile("([0-9a-z]{1,6}):([lxfew])([0-9]{1,6})\\.([0-9]{1,6})");
    private static final int TAG_GROUP = 1;
    private static final int KIND_GROUP = 2;
    private static final int CLASS_TENANT_GROUP = 3;
    private static final int VALUE_GROUP = 4;

    /**
     * One piece of gossip about an endpoint.
     *
     * @param kind which
     * @param classTenantKey whom it concerns; 0 for all
     * @param value its figure, by kind
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
     * {@return the items of a message; what is malformed is skipped: it may be cut, foreign or
     * anybody's}
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

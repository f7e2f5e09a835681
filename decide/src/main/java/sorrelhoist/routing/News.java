package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The form of what routers tell each other: items of a server's tag, kind, payer and value. */
final class News {
    /** Value: milliseconds beyond the expected time. */
    static final char LAG = 'l';

    /** Value: the zone from which the server refused a connection. */
    static final char UNREACHABLE = 'x';

    /** It was set aside and is well again; value: the zone from which. */
    static final char WELL = 'w';

    /** A request failed there; value: the zone from which. */
    static final char FAILED = 'e';

    /**
     * Value: milliseconds for which to pass it over; the payer is the class and tenant turned away.
     */
    static final char FULL = 'f';

    private static final Pattern ITEM =
            Pattern.compile("([0-9a-z]{1,6}):([lxfew])([0-9]{1,6})\\.([0-9]{1,6})");

    /** One piece of news about a server. */
    record Item(char kind, int payer, long value) {}

    private News() {}

    static String write(Map<String, Item> items) {
        StringBuilder body = new StringBuilder();
        items.forEach(
                (tag, i) ->
                        body.append(tag)
                                .append(':')
                                .append(i.kind)
                                .append(i.payer)
                                .append('.')
                                .append(i.value)
                                .append(' '));
        return body.toString();
    }

    /** What is not in this form is passed over: a message may be cut, foreign or anybody's. */
    static Map<String, Item> read(String body) {
        Map<String, Item> items = new LinkedHashMap<>();
        for (String part : body.split(" ")) {
            Matcher m = ITEM.matcher(part);
            if (m.matches()) {
                items.put(
                        m.group(1),
                        new Item(
                                m.group(2).charAt(0),
                                Integer.parseInt(m.group(3)),
                                Long.parseLong(m.group(4))));
            }
        }
        return items;
    }
}

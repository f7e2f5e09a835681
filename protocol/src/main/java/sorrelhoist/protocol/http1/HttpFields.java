package sorrelhoist.protocol.http1;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * The header fields of one message. They are kept as one text, because a peer chooses their number,
 * and an entry of a map takes many times the memory of a short field's text.
 */
public final class HttpFields {
    /** Precedes each field. Cannot be part of one, because it ends the line that it came in. */
    private static final char FIELD_START = '\n';

    private static final char NAME_END = ':';

    /** Separates the values of repeated fields (RFC 9110, section 5.3). */
    private static final String VALUE_SEPARATOR = ", ";

    private final String text;

    private HttpFields(String text) {
        this.text = text;
    }

    /** {@return the fields of a map from lower-case names to values without line ends} */
    static HttpFields of(Map<String, String> fields) {
        Builder builder = new Builder();
        fields.forEach(builder::add);
        return builder.build();
    }

    /**
     * {@return the value of the field with a lower-case name, or null; the values of repeated
     * fields are joined with commas}
     */
    String get(String name) {
        String start = FIELD_START + name + NAME_END;
        int at = text.indexOf(start);
        if (at < 0) {
            return null;
        }
        StringJoiner values = new StringJoiner(VALUE_SEPARATOR);
        while (at >= 0) {
            int valueStart = at + start.length();
            int valueEnd = fieldEnd(valueStart);
            values.add(text.substring(valueStart, valueEnd));
            at = text.indexOf(start, valueEnd);
        }
        return values.toString();
    }

    /** {@return the values by lower-case name, in the order of their first occurrence} */
    Map<String, String> toMap() {
        Map<String, StringJoiner> values = new LinkedHashMap<>();
        int start = 0;
        while (start < text.length()) {
            int nameEnd = text.indexOf(NAME_END, start);
            int end = fieldEnd(nameEnd);
            values.computeIfAbsent(
                            text.substring(start + 1, nameEnd),
                            name -> new StringJoiner(VALUE_SEPARATOR))
                    .add(text.substring(nameEnd + 1, end));
            start = end;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        values.forEach((name, joined) -> fields.put(name, joined.toString()));
        return fields;
    }

    private int fieldEnd(int from) {
        int end = text.indexOf(FIELD_START, from);
        return end < 0 ? text.length() : end;
    }

    /** {@return the memory of the fields, in bytes} */
    int heldBytes() {
        return text.length();
    }

    /** Collects fields in the order of their arrival. */
    static final class Builder {
        private StringBuilder text = new StringBuilder();

        void add(String name, String value) {
            text.append(FIELD_START).append(name).append(NAME_END).append(value);
        }

        /** {@return the collected fields} The builder is empty afterwards. */
        HttpFields build() {
            HttpFields fields = new HttpFields(text.toString());
            clear();
            return fields;
        }

        void clear() {
            text = new StringBuilder();
        }

        /** {@return the memory of the collected fields, in bytes} */
        int heldBytes() {
            return text.capacity();
        }
    }
}

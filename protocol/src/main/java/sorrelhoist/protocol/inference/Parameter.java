package sorrelhoist.protocol.inference;

import java.util.LinkedHashMap;
import java.util.Map;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * InferParameter: a Boolean, Long, String or Double.
 *
 * @param value one of these, or null where the message named none
 */
public record Parameter(Object value) {
    static void read(ProtoReader entry, Map<String, Parameter> into) throws ProtoException {
        String key = "";
        Parameter value = new Parameter(null);
        for (int f = entry.next(); f != 0; f = entry.next()) {
            switch (f) {
                case 1 -> key = entry.text();
                case 2 -> value = read(entry.message());
                default -> entry.skip();
            }
        }
        into.put(key, value);
    }

    private static Parameter read(ProtoReader in) throws ProtoException {
        Object value = null;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> value = in.flag();
                case 2, 5 -> value = in.integer();
                case 3 -> value = in.text();
                case 4 -> value = in.real();
                default -> in.skip();
            }
        }
        return new Parameter(value);
    }

    static void write(Map<String, Parameter> parameters, int field, ProtoWriter out) {
        parameters.forEach(
                (key, p) -> {
                    // A oneof's member is written also where it holds its default: it tells which
                    // one was chosen.
                    ProtoWriter value = new ProtoWriter(16);
                    if (p.value instanceof Boolean b) {
                        value.chosen(1, b ? 1 : 0);
                    } else if (p.value instanceof Long l) {
                        value.chosen(2, l);
                    } else if (p.value instanceof String s) {
                        value.always(3, s.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                    } else if (p.value instanceof Double d) {
                        value.real(4, d);
                    }
                    out.message(field, new ProtoWriter().text(1, key).message(2, value));
                });
    }

    static Map<String, Parameter> none() {
        return new LinkedHashMap<>();
    }
}

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
        for (int f = entry.nextField(); f != 0; f = entry.nextField()) {
            switch (f) {
                case 1 -> key = entry.readString();
                case 2 -> value = read(entry.readMessage());
                default -> entry.skipField();
            }
        }
        into.put(key, value);
    }

    private static Parameter read(ProtoReader in) throws ProtoException {
        Object value = null;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> value = in.readBool();
                case 2, 5 -> value = in.readVarint();
                case 3 -> value = in.readString();
                case 4 -> value = in.readDouble();
                default -> in.skipField();
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
                        value.writeVarintAlways(1, b ? 1 : 0);
                    } else if (p.value instanceof Long l) {
                        value.writeVarintAlways(2, l);
                    } else if (p.value instanceof String s) {
                        value.writeBytesAlways(
                                3, s.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                    } else if (p.value instanceof Double d) {
                        value.writeDouble(4, d);
                    }
                    out.writeMessage(
                            field, new ProtoWriter().writeString(1, key).writeMessage(2, value));
                });
    }

    static Map<String, Parameter> none() {
        return new LinkedHashMap<>();
    }
}

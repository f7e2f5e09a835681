package sorrelhoist.protocol.inference;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The InferParameter message.
 *
 * @param value a Boolean, Long, String or Double, or null if the message has no value
 */
public record Parameter(Object value) {
    private static final int ENTRY_KEY = 1;
    private static final int ENTRY_VALUE = 2;

    private static final int BOOL = 1;
    private static final int INT64 = 2;
    private static final int STRING = 3;
    private static final int DOUBLE = 4;
    private static final int UINT64 = 5;

    /** Reads one entry of a parameter map and adds it to the map. */
    static void readEntry(ProtoReader entry, Map<String, Parameter> parameters)
            throws ProtoException {
        String key = "";
        Parameter value = new Parameter(null);
        for (int field = entry.nextField(); field != 0; field = entry.nextField()) {
            switch (field) {
                case ENTRY_KEY -> key = entry.readString();
                case ENTRY_VALUE -> value = read(entry.readMessage());
                default -> entry.skipField();
            }
        }
        parameters.put(key, value);
    }

    private static Parameter read(ProtoReader in) throws ProtoException {
        Object value = null;
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case BOOL -> value = in.readBool();
                case INT64, UINT64 -> value = in.readVarint();
                case STRING -> value = in.readString();
                case DOUBLE -> value = in.readDouble();
                default -> in.skipField();
            }
        }
        return new Parameter(value);
    }

    /** Writes a parameter map as the repeated entries of a field. */
    static void writeEntries(Map<String, Parameter> parameters, int field, ProtoWriter out) {
        parameters.forEach(
                (key, parameter) -> {
                    ProtoWriter entry = new ProtoWriter();
                    entry.writeString(ENTRY_KEY, key);
                    entry.writeMessage(ENTRY_VALUE, parameter.write());
                    out.writeMessage(field, entry);
                });
    }

    /**
     * Encodes the parameter. A default value is written too, because the presence of a oneof member
     * shows which one is set.
     */
    private ProtoWriter write() {
        ProtoWriter out = new ProtoWriter();
        if (value instanceof Boolean flag) {
            out.writeVarintAlways(BOOL, flag ? 1 : 0);
        } else if (value instanceof Long number) {
            out.writeVarintAlways(INT64, number);
        } else if (value instanceof String text) {
            out.writeBytesAlways(STRING, text.getBytes(StandardCharsets.UTF_8));
        } else if (value instanceof Double number) {
            out.writeDouble(DOUBLE, number);
        }
        return out;
    }
}

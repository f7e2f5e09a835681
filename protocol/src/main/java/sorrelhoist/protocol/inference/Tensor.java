package sorrelhoist.protocol.inference;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * InferInputTensor or InferOutputTensor, which have the same fields; of the contents those of
 * datatype BYTES.
 *
 * @param name its name
 * @param datatype BYTES for text
 * @param shape its dimensions
 * @param contents its elements, where they are not given raw
 */
public record Tensor(String name, String datatype, List<Long> shape, List<byte[]> contents) {
    /** The datatype of text. */
    public static final String BYTES = "BYTES";

    /** {@return one element of text} */
    public static Tensor text(String name, String text) {
        return new Tensor(name, BYTES, List.of(1L), List.of(text.getBytes(StandardCharsets.UTF_8)));
    }

    static Tensor read(ProtoReader in) throws ProtoException {
        String name = "";
        String datatype = "";
        List<Long> shape = new ArrayList<>();
        List<byte[]> contents = new ArrayList<>();
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> name = in.readString();
                case 2 -> datatype = in.readString();
                case 3 -> shape(in, shape);
                case 5 -> contents(in.readMessage(), contents);
                default -> in.skipField();
            }
        }
        return new Tensor(name, datatype, shape, contents);
    }

    private static void shape(ProtoReader in, List<Long> shape) throws ProtoException {
        if (!in.isPacked()) {
            shape.add(in.readVarint());
            return;
        }
        ProtoReader packed = in.readMessage();
        while (!packed.atEnd()) {
            shape.add(packed.readPackedVarint());
        }
    }

    private static void contents(ProtoReader in, List<byte[]> contents) throws ProtoException {
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            if (f == 8) {
                contents.add(in.readBytes());
            } else {
                in.skipField();
            }
        }
    }

    ProtoWriter write() {
        ProtoWriter out = new ProtoWriter(96).writeString(1, name).writeString(2, datatype);
        if (!shape.isEmpty()) {
            ProtoWriter packed = new ProtoWriter(16);
            shape.forEach(packed::writePackedVarint);
            out.writeMessage(3, packed);
        }
        if (!contents.isEmpty()) {
            ProtoWriter held = new ProtoWriter(64);
            contents.forEach(c -> held.writeBytesAlways(8, c));
            out.writeMessage(5, held);
        }
        return out;
    }

    /**
     * The elements, wherever they were given.
     *
     * @param raw the raw contents of this tensor, or null
     * @return its elements
     * @throws ProtoException where the raw contents' lengths don't fit
     */
    public List<byte[]> elements(byte[] raw) throws ProtoException {
        if (raw == null) {
            return contents;
        }
        List<byte[]> elements = new ArrayList<>();
        int at = 0;
        while (at < raw.length) {
            if (raw.length - at < 4) {
                throw new ProtoException("raw contents of \"" + name + "\" are cut short");
            }
            long size =
                    raw[at] & 0xFFL
                            | (raw[at + 1] & 0xFFL) << 8
                            | (raw[at + 2] & 0xFFL) << 16
                            | (raw[at + 3] & 0xFFL) << 24;
            at += 4;
            if (size > raw.length - at) {
                throw new ProtoException(
                        "raw contents of \"" + name + "\" are shorter than they say");
            }
            elements.add(java.util.Arrays.copyOfRange(raw, at, at + (int) size));
            at += (int) size;
        }
        return elements;
    }

    /** Whether two tensors say the same; arrays are compared by content. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Tensor t
                && java.util.Arrays.equals(t.write().toByteArray(), write().toByteArray());
    }

    @Override
    public int hashCode() {
        return java.util.Arrays.hashCode(write().toByteArray());
    }
}

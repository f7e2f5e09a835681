package sorrelhoist.protocol.inference;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The InferInputTensor and InferOutputTensor messages, which have the same fields. Of the contents,
 * only elements of datatype BYTES are supported.
 *
 * @param name name of the tensor
 * @param datatype type of the elements; BYTES for text
 * @param shape the dimensions
 * @param contents the elements, unless they are transferred as raw contents
 */
public record Tensor(String name, String datatype, List<Long> shape, List<byte[]> contents) {
    /** The datatype of text elements. */
    public static final String BYTES = "BYTES";

    /** {@return a tensor with one text element} */
    public static Tensor text(String name, String text) {
        return new Tensor(name, BYTES, List.of(1L), List.of(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static final int NAME = 1;
    private static final int DATATYPE = 2;
    private static final int SHAPE = 3;
    private static final int CONTENTS = 5;

    /** Number of the field bytes_contents in InferTensorContents. */
    private static final int BYTES_CONTENTS = 8;

    static Tensor read(ProtoReader in) throws ProtoException {
        String name = "";
        String datatype = "";
        List<Long> shape = new ArrayList<>();
        List<byte[]> contents = new ArrayList<>();
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case NAME -> name = in.readString();
                case DATATYPE -> datatype = in.readString();
                case SHAPE -> readShape(in, shape);
                case CONTENTS -> readContents(in.readMessage(), contents);
                default -> in.skipField();
            }
        }
        return new Tensor(name, datatype, shape, contents);
    }

    private static void readShape(ProtoReader in, List<Long> shape) throws ProtoException {
        if (!in.isPacked()) {
            shape.add(in.readVarint());
            return;
        }
        ProtoReader packed = in.readMessage();
        while (!packed.atEnd()) {
            shape.add(packed.readPackedVarint());
        }
    }

    private static void readContents(ProtoReader in, List<byte[]> contents) throws ProtoException {
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            if (field == BYTES_CONTENTS) {
                contents.add(in.readBytes());
            } else {
                in.skipField();
            }
        }
    }

    ProtoWriter write() {
        ProtoWriter out = new ProtoWriter().writeString(NAME, name).writeString(DATATYPE, datatype);
        if (!shape.isEmpty()) {
            ProtoWriter packed = new ProtoWriter();
            shape.forEach(packed::writePackedVarint);
            out.writeMessage(SHAPE, packed);
        }
        if (!contents.isEmpty()) {
            ProtoWriter elements = new ProtoWriter();
            contents.forEach(e -> elements.writeBytesAlways(BYTES_CONTENTS, e));
            out.writeMessage(CONTENTS, elements);
        }
        return out;
    }

    /**
     * Returns the elements, from the raw contents if there are any.
     *
     * @param raw the raw contents of this tensor, or null
     * @return the elements
     * @throws ProtoException if an element's length exceeds the raw contents
     */
    public List<byte[]> elements(byte[] raw) throws ProtoException {
        if (raw == null) {
            return contents;
        }
        List<byte[]> elements = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(raw).order(ByteOrder.LITTLE_ENDIAN);
        while (in.hasRemaining()) {
            if (in.remaining() < Integer.BYTES) {
                throw new ProtoException("raw contents of \"" + name + "\" are cut short");
            }
            long size = Integer.toUnsignedLong(in.getInt());
            if (size > in.remaining()) {
                throw new ProtoException(
                        "raw contents of \"" + name + "\" are shorter than they say");
            }
            byte[] element = new byte[(int) size];
            in.get(element);
            elements.add(element);
        }
        return elements;
    }

    /** Compares the encoded tensors, so that arrays are compared by content. */
    @Override
    public boolean equals(Object other) {
        return other instanceof Tensor t
                && Arrays.equals(t.write().toByteArray(), write().toByteArray());
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(write().toByteArray());
    }
}

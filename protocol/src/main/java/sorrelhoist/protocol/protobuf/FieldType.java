package sorrelhoist.protocol.protobuf;

import java.util.ArrayList;
import java.util.List;

/** How the values of one field are read and written. */
interface FieldType {
    /** {@return the value of a field that does not occur in the message} */
    Object defaultValue();

    /**
     * Reads one occurrence of the field.
     *
     * @param in at the field
     * @param previous the value so far
     * @return the value from now on
     * @throws ProtoException where the field's bytes are not of this type
     */
    Object read(ProtoReader in, Object previous) throws ProtoException;

    /** Writes the field, unless it holds its default value. */
    void write(ProtoWriter out, int number, Object value);

    /** Fields with one value: the last occurrence counts. */
    enum Scalar implements FieldType {
        /** int32 or enum, not negative. */
        COUNT(0) {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return in.readNonNegativeInt();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeVarint(number, (Integer) value);
            }
        },
        /** sint32. */
        SINT32(0) {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return (int) in.readZigZag();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeZigZag(number, (Integer) value);
            }
        },
        /** uint64. */
        UINT64(0L) {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return in.readVarint();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeVarint(number, (Long) value);
            }
        },
        /** bool. */
        BOOL(false) {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return in.readBool();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeBool(number, (Boolean) value);
            }
        },
        /** double. */
        DOUBLE(0.0) {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return in.readDouble();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeDouble(number, (Double) value);
            }
        },
        /** string. */
        STRING("") {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return in.readString();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeString(number, (String) value);
            }
        },
        /** bytes. */
        BYTES(new byte[0]) {
            @Override
            Object read(ProtoReader in) throws ProtoException {
                return in.readBytes();
            }

            @Override
            public void write(ProtoWriter out, int number, Object value) {
                out.writeBytes(number, (byte[]) value);
            }
        };

        @SuppressWarnings("ImmutableEnumChecker") // boxed numbers, strings, and an empty array
        private final Object defaultValue;

        Scalar(Object defaultValue) {
            this.defaultValue = defaultValue;
        }

        abstract Object read(ProtoReader in) throws ProtoException;

        @Override
        public Object defaultValue() {
            return defaultValue;
        }

        @Override
        public Object read(ProtoReader in, Object previous) throws ProtoException {
            return read(in);
        }
    }

    /**
     * A repeated field of messages: each occurrence adds one.
     *
     * @param <E> the messages' type
     */
    final class RepeatedMessage<E extends Record> implements FieldType {
        private final MessageSchema<E> element;

        RepeatedMessage(MessageSchema<E> element) {
            this.element = element;
        }

        @Override
        public Object defaultValue() {
            return new ArrayList<E>();
        }

        @Override
        @SuppressWarnings("unchecked") // the list that defaultValue() made
        public Object read(ProtoReader in, Object previous) throws ProtoException {
            ((List<E>) previous).add(element.read(in.readMessage()));
            return previous;
        }

        @Override
        @SuppressWarnings("unchecked") // the component's type, from which this field was made
        public void write(ProtoWriter out, int number, Object value) {
            ((List<E>) value).forEach(e -> out.writeMessage(number, element.write(e)));
        }
    }
}

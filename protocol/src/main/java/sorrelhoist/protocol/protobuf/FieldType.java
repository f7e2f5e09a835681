package sorrelhoist.protocol.protobuf;

import java.util.ArrayList;
import java.util.List;

/** Reads and writes the values of one field. */
interface FieldType {
    /** {@return the value of a field that is missing in the message} */
    Object defaultValue();

    /**
     * Reads one occurrence of the field.
     *
     * @param in a reader positioned at the field
     * @param previous the value from earlier occurrences, or the default value
     * @return the value including this occurrence
     * @throws ProtoException if the field's encoding does not match this type
     */
    Object read(ProtoReader in, Object previous) throws ProtoException;

    /** Writes the field, unless it has its default value. */
    void write(ProtoWriter out, int number, Object value);

    /** Types of fields with a single value: the last occurrence counts. */
    enum Scalar implements FieldType {
        /** A non-negative int32, uint32 or enum. */
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

        @SuppressWarnings("ImmutableEnumChecker") // boxed numbers, strings and an empty array
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
     * A repeated message field: each occurrence adds an element.
     *
     * @param <E> the type of the elements
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
        @SuppressWarnings("unchecked") // the list was created by defaultValue()
        public Object read(ProtoReader in, Object previous) throws ProtoException {
            ((List<E>) previous).add(element.read(in.readMessage()));
            return previous;
        }

        @Override
        @SuppressWarnings("unchecked") // the type of the record component
        public void write(ProtoWriter out, int number, Object value) {
            ((List<E>) value).forEach(e -> out.writeMessage(number, element.write(e)));
        }
    }
}

package sorrelhoist.core.record;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Reason;

/**
 * Writes and reads values of the types that record components may have, other than primitive
 * numbers.
 */
interface ValueCodec {
    void write(BinaryWriter out, Object value, StringCodec strings);

    Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException;

    /** {@return the value of a component of this type if a stored record lacks the component} */
    Object defaultValue();

    /** {@return the codec of a type} */
    static ValueCodec of(Type type) {
        if (type instanceof ParameterizedType parameterized
                && parameterized.getRawType() == List.class) {
            return new ListCodec(of(parameterized.getActualTypeArguments()[0]));
        }
        Class<?> plain = (Class<?>) type;
        if (plain == String.class) {
            return new TextCodec();
        } else if (plain == boolean.class) {
            return new BooleanCodec();
        } else if (plain.isEnum()) {
            return new EnumCodec(plain.getEnumConstants());
        } else if (plain == Long.class) {
            return new LongCodec();
        } else if (plain.isRecord()) {
            Object missing = plain == Reason.class ? Reason.UNKNOWN : null;
            return new NestedRecordCodec(RecordCodec.of(plain), missing);
        }
        throw new IllegalArgumentException("values of " + type + " cannot be stored");
    }

    /** A text, or null. */
    record TextCodec() implements ValueCodec {
        @Override
        public void write(BinaryWriter out, Object value, StringCodec strings) {
            strings.write(out, (String) value);
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            return strings.read(in);
        }

        @Override
        public Object defaultValue() {
            return null;
        }
    }

    /** A boxed long, as an element of a list. */
    record LongCodec() implements ValueCodec {
        @Override
        public void write(BinaryWriter out, Object value, StringCodec strings) {
            out.writeSignedVarint((Long) value);
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            return in.readSignedVarint();
        }

        @Override
        public Object defaultValue() {
            return 0L;
        }
    }

    /** A boolean. */
    record BooleanCodec() implements ValueCodec {
        @Override
        public void write(BinaryWriter out, Object value, StringCodec strings) {
            out.writeByte((Boolean) value ? 1 : 0);
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            return in.readByte() != 0;
        }

        @Override
        public Object defaultValue() {
            return false;
        }
    }

    /** An enum constant, stored by its ordinal. */
    record EnumCodec(Object[] constants) implements ValueCodec {
        @Override
        public void write(BinaryWriter out, Object value, StringCodec strings) {
            out.writeVarint(((Enum<?>) value).ordinal());
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            long ordinal = in.readVarint();
            if (ordinal >= 0 && ordinal < constants.length) {
                return constants[(int) ordinal];
            }
            // A kind of reason that a later build added is read as UNKNOWN.
            if (constants[0] == Reason.Kind.UNKNOWN) {
                return constants[0];
            }
            throw new CorruptRecordException(
                    "unknown ordinal "
                            + ordinal
                            + " of "
                            + constants[0].getClass().getSimpleName());
        }

        @Override
        public Object defaultValue() {
            return constants[0];
        }
    }

    /** A nested record, preceded by its length. */
    record NestedRecordCodec(RecordCodec<?> codec, Object missing) implements ValueCodec {
        @Override
        public void write(BinaryWriter out, Object value, StringCodec strings) {
            int start = out.beginBlock();
            codec.write(out, value, strings);
            out.endBlock(start);
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            return codec.read(in.readBlock(), strings);
        }

        @Override
        public Object defaultValue() {
            return missing;
        }
    }

    /** A list, preceded by its size. */
    record ListCodec(ValueCodec item) implements ValueCodec {
        private static final int MAX_INITIAL_CAPACITY = 1000;

        @Override
        public void write(BinaryWriter out, Object value, StringCodec strings) {
            List<?> list = (List<?>) value;
            out.writeVarint(list.size());
            for (Object element : list) {
                item.write(out, element, strings);
            }
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            int size = in.readLength(1);
            List<Object> list = new ArrayList<>(Math.min(size, MAX_INITIAL_CAPACITY));
            for (int i = 0; i < size; i++) {
                list.add(item.read(in, strings));
            }
            return list;
        }

        @Override
        public Object defaultValue() {
            return List.of();
        }
    }
}

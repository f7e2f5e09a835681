package sorrelhoist.core.record;

import java.lang.invoke.MethodHandles;
import java.lang.reflect.RecordComponent;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Writes and reads one component of a record. Numeric components have codecs of their own, so that
 * writing them allocates no objects.
 */
interface ComponentCodec {
    /**
     * Writes the component.
     *
     * @param owner the record that contains the component
     */
    void write(BinaryWriter out, Object owner, StringCodec strings);

    Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException;

    /** {@return the value of the component if a stored record lacks it} */
    Object defaultValue();

    /**
     * {@return the codec of a component}
     *
     * @param lookup lookup with access to the record that declares the component
     * @param component the component to be stored
     * @param rounded whether fractions are rounded to the nearest whole number
     */
    static ComponentCodec of(
            MethodHandles.Lookup lookup, RecordComponent component, boolean rounded)
            throws ReflectiveOperationException {
        Class<?> type = component.getType();
        if (type == long.class || type == int.class) {
            return new IntegerComponent(
                    ComponentAccessors.toLong(lookup, component), type == int.class);
        }
        if (type == double.class) {
            return new FractionComponent(ComponentAccessors.toDouble(lookup, component), rounded);
        }
        return new ObjectComponent(
                ComponentAccessors.toObject(lookup, component),
                ValueCodec.of(component.getGenericType()));
    }

    /** A {@code long} or an {@code int}. */
    record IntegerComponent(ToLongFunction<Object> getter, boolean isInt)
            implements ComponentCodec {
        @Override
        public void write(BinaryWriter out, Object owner, StringCodec strings) {
            out.writeSignedVarint(getter.applyAsLong(owner));
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            return boxed(in.readSignedVarint());
        }

        @Override
        public Object defaultValue() {
            return boxed(0);
        }

        private Object boxed(long value) {
            if (isInt) {
                return (int) value;
            }
            return value;
        }
    }

    /** A {@code double}, stored exactly unless {@code rounded} is set. */
    record FractionComponent(ToDoubleFunction<Object> getter, boolean rounded)
            implements ComponentCodec {
        private static final int NOT_A_NUMBER = 0;
        private static final int WHOLE = 1;
        private static final int EXACT = 2;
        private static final double MAX_WHOLE = 1L << 53;

        @Override
        public void write(BinaryWriter out, Object owner, StringCodec strings) {
            double exact = getter.applyAsDouble(owner);
            double value = rounded ? Math.rint(exact) : exact;
            if (Double.isNaN(value)) {
                out.writeByte(NOT_A_NUMBER);
            } else if (isWhole(value)) {
                out.writeByte(WHOLE).writeSignedVarint((long) value);
            } else {
                out.writeByte(EXACT).writeLong(Double.doubleToRawLongBits(value));
            }
        }

        /**
         * {@return whether a value can be stored as a whole number; negative zero cannot, as it
         * would lose its sign}
         */
        private static boolean isWhole(double value) {
            return value == Math.rint(value)
                    && Math.abs(value) < MAX_WHOLE
                    && (value != 0 || 1 / value > 0);
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            int kind = in.readByte();
            return switch (kind) {
                case NOT_A_NUMBER -> Double.NaN;
                case WHOLE -> (double) in.readSignedVarint();
                case EXACT -> Double.longBitsToDouble(in.readLong());
                default ->
                        throw new CorruptRecordException("unknown encoding of a fraction: " + kind);
            };
        }

        @Override
        public Object defaultValue() {
            return Double.NaN;
        }
    }

    /** A component of any other type. */
    record ObjectComponent(Function<Object, Object> getter, ValueCodec codec)
            implements ComponentCodec {
        @Override
        public void write(BinaryWriter out, Object owner, StringCodec strings) {
            codec.write(out, getter.apply(owner), strings);
        }

        @Override
        public Object read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
            return codec.read(in, strings);
        }

        @Override
        public Object defaultValue() {
            return codec.defaultValue();
        }
    }
}

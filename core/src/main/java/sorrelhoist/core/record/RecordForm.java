package sorrelhoist.core.record;

import java.lang.invoke.LambdaMetafactory;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import sorrelhoist.routing.Reason;

/**
 * The form of any Java record made of whole numbers, fractions, flags, texts, enums, records and
 * lists of them: its components one after the other, in a frame with a length. So a build that
 * knows a component less passes over it, and one that knows a component more finds nothing there
 * and takes a neutral value: 0, false, null, an empty list. New components have to come last for
 * that; a changed type needs a new tag.
 *
 * <p>Accessors are made once for each type and called as plain functions.
 *
 * @param <R> the record's type
 */
final class RecordForm<R> {
    /** Texts that recur are written once for each chunk. */
    interface Texts {
        void write(Bytes out, String text);

        String read(Input in) throws CorruptRecordException;
    }

    private interface Part {
        void write(Bytes out, Object record, Texts texts);

        Object read(Input in, Texts texts) throws CorruptRecordException;

        Object neutral();
    }

    private static final ConcurrentMap<Class<?>, RecordForm<?>> FORMS = new ConcurrentHashMap<>();
    private static final int NO_NUMBER = 0;
    private static final int WHOLE = 1;
    private static final int FRACTION = 2;
    private static final double EXACT = 1L << 53;

    private final List<Part> parts = new ArrayList<>();
    private final MethodHandle maker;

    private RecordForm(Class<R> type) {
        try {
            RecordComponent[] components = type.getRecordComponents();
            Class<?>[] types = new Class<?>[components.length];
            MethodHandles.Lookup lookup =
                    MethodHandles.privateLookupIn(type, MethodHandles.lookup());
            for (int i = 0; i < components.length; i++) {
                types[i] = components[i].getType();
                parts.add(part(lookup, components[i], type == Reason.class));
            }
            maker =
                    lookup.findConstructor(type, MethodType.methodType(void.class, types))
                            .asSpreader(Object[].class, types.length)
                            .asType(MethodType.methodType(Object.class, Object[].class));
        } catch (Throwable e) {
            throw new IllegalStateException(type + " has no form", e);
        }
    }

    @SuppressWarnings("unchecked")
    static <R> RecordForm<R> of(Class<R> type) {
        // Forms of nested types are made meanwhile, so this is no computeIfAbsent.
        RecordForm<?> form = FORMS.get(type);
        if (form == null) {
            form = new RecordForm<>(type);
            FORMS.put(type, form);
        }
        return (RecordForm<R>) form;
    }

    void write(Bytes out, Object record, Texts texts) {
        for (Part p : parts) {
            p.write(out, record, texts);
        }
    }

    @SuppressWarnings("unchecked")
    R read(Input in, Texts texts) throws CorruptRecordException {
        Object[] values = new Object[parts.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = in.left() > 0 ? parts.get(i).read(in, texts) : parts.get(i).neutral();
        }
        try {
            return (R) maker.invokeExact(values);
        } catch (Throwable e) {
            throw new CorruptRecordException("values that make no event: " + e.getMessage());
        }
    }

    // ---- Components
    // ---------------------------------------------------------------------------------------

    @SuppressWarnings("unchecked")
    private static <F> F accessor(
            MethodHandles.Lookup lookup,
            RecordComponent c,
            Class<F> shape,
            String name,
            MethodType erased)
            throws Throwable {
        MethodHandle h = lookup.unreflect(c.getAccessor());
        Class<?> result =
                erased.returnType().isPrimitive() ? erased.returnType() : h.type().returnType();
        return (F)
                LambdaMetafactory.metafactory(
                                lookup,
                                name,
                                MethodType.methodType(shape),
                                erased,
                                h,
                                h.type().changeReturnType(result))
                        .getTarget()
                        .invoke();
    }

    @SuppressWarnings("unchecked")
    private static Part part(MethodHandles.Lookup lookup, RecordComponent c, boolean rounded)
            throws Throwable {
        Class<?> type = c.getType();
        if (type == long.class || type == int.class) {
            ToLongFunction<Object> get =
                    accessor(
                            lookup,
                            c,
                            ToLongFunction.class,
                            "applyAsLong",
                            MethodType.methodType(long.class, Object.class));
            return new Whole(get, type == int.class);
        } else if (type == double.class) {
            ToDoubleFunction<Object> get =
                    accessor(
                            lookup,
                            c,
                            ToDoubleFunction.class,
                            "applyAsDouble",
                            MethodType.methodType(double.class, Object.class));
            return new Fraction(get, rounded);
        }
        Function<Object, Object> get =
                type == boolean.class
                        ? flag(lookup, c)
                        : accessor(
                                lookup,
                                c,
                                Function.class,
                                "apply",
                                MethodType.methodType(Object.class, Object.class));
        return new Thing(get, shape(c.getGenericType()));
    }

    private static Function<Object, Object> flag(MethodHandles.Lookup lookup, RecordComponent c)
            throws Throwable {
        @SuppressWarnings("unchecked")
        java.util.function.Predicate<Object> get =
                accessor(
                        lookup,
                        c,
                        java.util.function.Predicate.class,
                        "test",
                        MethodType.methodType(boolean.class, Object.class));
        return get::test;
    }

    private record Whole(ToLongFunction<Object> get, boolean isInt) implements Part {
        @Override
        public void write(Bytes out, Object record, Texts texts) {
            out.number(get.applyAsLong(record));
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            return value(in.number());
        }

        @Override
        public Object neutral() {
            return value(0);
        }

        private Object value(long v) {
            if (isInt) {
                return (int) v;
            }
            return v;
        }
    }

    /** Figures of reasons are for people and kept to whole ones; all others exactly. */
    private record Fraction(ToDoubleFunction<Object> get, boolean rounded) implements Part {
        @Override
        public void write(Bytes out, Object record, Texts texts) {
            double exact = get.applyAsDouble(record);
            double v = rounded ? Math.rint(exact) : exact;
            if (Double.isNaN(v)) {
                out.one(NO_NUMBER);
            } else if (v == Math.rint(v) && Math.abs(v) < EXACT && (v != 0 || 1 / v > 0)) {
                out.one(WHOLE).number((long) v);
            } else {
                out.one(FRACTION).eight(Double.doubleToRawLongBits(v));
            }
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            int how = in.one();
            return switch (how) {
                case NO_NUMBER -> Double.NaN;
                case WHOLE -> (double) in.number();
                case FRACTION -> Double.longBitsToDouble(in.eight());
                default -> throw new CorruptRecordException("a fraction of kind " + how);
            };
        }

        @Override
        public Object neutral() {
            return Double.NaN;
        }
    }

    private record Thing(Function<Object, Object> get, Shape shape) implements Part {
        @Override
        public void write(Bytes out, Object record, Texts texts) {
            shape.write(out, get.apply(record), texts);
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            return shape.read(in, texts);
        }

        @Override
        public Object neutral() {
            return shape.neutral();
        }
    }

    // ---- Values that are no plain numbers
    // -----------------------------------------------------------------

    private interface Shape {
        void write(Bytes out, Object value, Texts texts);

        Object read(Input in, Texts texts) throws CorruptRecordException;

        Object neutral();
    }

    private static Shape shape(Type type) {
        if (type instanceof ParameterizedType list && list.getRawType() == List.class) {
            return new Many(shape(list.getActualTypeArguments()[0]));
        }
        Class<?> plain = (Class<?>) type;
        if (plain == String.class) {
            return new Text();
        } else if (plain == boolean.class) {
            return new Flag();
        } else if (plain.isEnum()) {
            return new Choice(plain.getEnumConstants());
        } else if (plain == Long.class) {
            return new Number_();
        } else if (plain.isRecord()) {
            return new Nested(RecordForm.of(plain), plain == Reason.class ? Reason.UNKNOWN : null);
        }
        throw new IllegalArgumentException("no form for " + type);
    }

    private record Text() implements Shape {
        @Override
        public void write(Bytes out, Object value, Texts texts) {
            texts.write(out, (String) value);
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            return texts.read(in);
        }

        @Override
        public Object neutral() {
            return null;
        }
    }

    private record Number_() implements Shape {
        @Override
        public void write(Bytes out, Object value, Texts texts) {
            out.number((Long) value);
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            return in.number();
        }

        @Override
        public Object neutral() {
            return 0L;
        }
    }

    private record Flag() implements Shape {
        @Override
        public void write(Bytes out, Object value, Texts texts) {
            out.one((Boolean) value ? 1 : 0);
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            return in.one() != 0;
        }

        @Override
        public Object neutral() {
            return false;
        }
    }

    private record Choice(Object[] constants) implements Shape {
        @Override
        public void write(Bytes out, Object value, Texts texts) {
            out.count(((Enum<?>) value).ordinal());
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            long n = in.count();
            // A kind that a later build added: known not to be known.
            if (n < 0 || n >= constants.length) {
                if (constants[0] == Reason.Kind.UNKNOWN) {
                    return constants[0];
                }
                throw new CorruptRecordException(
                        "number " + n + " of " + constants[0].getClass().getSimpleName());
            }
            return constants[(int) n];
        }

        @Override
        public Object neutral() {
            return constants[0];
        }
    }

    private record Nested(RecordForm<?> form, Object missing) implements Shape {
        @Override
        public void write(Bytes out, Object value, Texts texts) {
            int mark = out.open();
            form.write(out, value, texts);
            out.close(mark);
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            return form.read(in.part(in.length(1)), texts);
        }

        @Override
        public Object neutral() {
            return missing;
        }
    }

    private record Many(Shape item) implements Shape {
        @Override
        public void write(Bytes out, Object value, Texts texts) {
            List<?> list = (List<?>) value;
            out.count(list.size());
            for (Object o : list) {
                item.write(out, o, texts);
            }
        }

        @Override
        public Object read(Input in, Texts texts) throws CorruptRecordException {
            int n = in.length(1);
            List<Object> list = new ArrayList<>(Math.min(n, 1000));
            for (int i = 0; i < n; i++) {
                list.add(item.read(in, texts));
            }
            return list;
        }

        @Override
        public Object neutral() {
            return List.of();
        }
    }
}

package sorrelhoist.core.record;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import sorrelhoist.routing.Reason;

/**
 * Writes and reads any Java record that consists of integers, fractions, booleans, texts, enums,
 * records, and lists of them. Components are stored one after another in their order of
 * declaration. Names are not stored, so components and enum constants may be renamed, but never
 * reordered or removed.
 *
 * <p>Nested records are preceded by their length. A build that lacks a component skips it, and a
 * build with an additional component uses a default for it: 0, NaN, false, null, an empty list, the
 * first constant of an enum, or {@link Reason#UNKNOWN}. New components therefore have to come last.
 * A component whose type changes requires a new tag for its record.
 *
 * @param <R> the record's type
 */
final class RecordCodec<R> {
    private static final ConcurrentMap<Class<?>, RecordCodec<?>> CODECS = new ConcurrentHashMap<>();

    private final List<ComponentCodec> components = new ArrayList<>();
    private final MethodHandle constructor;

    private RecordCodec(Class<R> type) {
        try {
            RecordComponent[] declared = type.getRecordComponents();
            Class<?>[] componentTypes = new Class<?>[declared.length];
            MethodHandles.Lookup lookup =
                    MethodHandles.privateLookupIn(type, MethodHandles.lookup());
            for (int i = 0; i < declared.length; i++) {
                componentTypes[i] = declared[i].getType();
                // Figures of reasons only explain decisions, so they are rounded.
                components.add(ComponentCodec.of(lookup, declared[i], type == Reason.class));
            }
            constructor =
                    lookup.findConstructor(type, MethodType.methodType(void.class, componentTypes))
                            .asSpreader(Object[].class, componentTypes.length)
                            .asType(MethodType.methodType(Object.class, Object[].class));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(type + " cannot be stored", e);
        }
    }

    /** {@return the codec of a record type, which is created on first use} */
    @SuppressWarnings("unchecked") // each type maps to its own codec
    static <R> RecordCodec<R> of(Class<R> type) {
        // The constructor adds codecs of nested types, which computeIfAbsent does not allow.
        RecordCodec<?> codec = CODECS.get(type);
        if (codec == null) {
            codec = new RecordCodec<>(type);
            CODECS.put(type, codec);
        }
        return (RecordCodec<R>) codec;
    }

    void write(BinaryWriter out, Object value, StringCodec strings) {
        for (ComponentCodec component : components) {
            component.write(out, value, strings);
        }
    }

    @SuppressWarnings("unchecked") // the handle is a constructor of R
    R read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
        Object[] values = new Object[components.size()];
        for (int i = 0; i < values.length; i++) {
            ComponentCodec component = components.get(i);
            values[i] = in.remaining() > 0 ? component.read(in, strings) : component.defaultValue();
        }
        try {
            return (R) constructor.invokeExact(values);
        } catch (Throwable e) { // thrown by the constructor, or declared by the handle
            throw new CorruptRecordException(
                    "stored values do not form a valid record: " + e.getMessage());
        }
    }
}

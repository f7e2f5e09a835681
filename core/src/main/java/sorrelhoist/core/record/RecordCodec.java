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
 * Writes and reads any Java record made of integers, fractions, flags, texts, enums, records and
 * lists of them: its components one after the other, in their order of declaration. Names are not
 * stored, so components and enum constants may be renamed, but never reordered or removed.
 *
 * <p>Nested records are preceded by their length. So a build that knows a component less passes
 * over it, and one that knows a component more takes a default: 0, NaN, false, null or an empty
 * list. New components therefore come last; a component whose type changes needs a new tag for its
 * record.
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

    /** {@return the codec of a record type, made once} */
    @SuppressWarnings("unchecked") // the map holds the codec of each type under that type
    static <R> RecordCodec<R> of(Class<R> type) {
        // Codecs of nested types are made meanwhile, so this is no computeIfAbsent.
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

    @SuppressWarnings("unchecked") // the constructor is that of R
    R read(BinaryReader in, StringCodec strings) throws CorruptRecordException {
        Object[] values = new Object[components.size()];
        for (int i = 0; i < values.length; i++) {
            ComponentCodec component = components.get(i);
            values[i] = in.remaining() > 0 ? component.read(in, strings) : component.defaultValue();
        }
        try {
            return (R) constructor.invokeExact(values);
        } catch (Throwable e) { // whatever a constructor throws, and what the handle declares
            throw new CorruptRecordException("values that make no event: " + e.getMessage());
        }
    }
}

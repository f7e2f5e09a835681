package sorrelhoist.core.record;

import java.lang.invoke.LambdaMetafactory;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.RecordComponent;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Accessors of record components as plain functions: recording runs on the thread that decides, and
 * reflective calls cost several times as much there.
 */
final class ComponentAccessors {
    private ComponentAccessors() {}

    /** {@return the accessor of a {@code long} or {@code int} component} */
    @SuppressWarnings("unchecked") // the interface that is asked for
    static ToLongFunction<Object> toLong(MethodHandles.Lookup lookup, RecordComponent component)
            throws ReflectiveOperationException {
        MethodType erased = MethodType.methodType(long.class, Object.class);
        return accessor(lookup, component, ToLongFunction.class, "applyAsLong", erased);
    }

    /** {@return the accessor of a {@code double} component} */
    @SuppressWarnings("unchecked") // the interface that is asked for
    static ToDoubleFunction<Object> toDouble(MethodHandles.Lookup lookup, RecordComponent component)
            throws ReflectiveOperationException {
        MethodType erased = MethodType.methodType(double.class, Object.class);
        return accessor(lookup, component, ToDoubleFunction.class, "applyAsDouble", erased);
    }

    /** {@return the accessor of a component that is no number} */
    @SuppressWarnings("unchecked") // the interface that is asked for
    static Function<Object, Object> toObject(MethodHandles.Lookup lookup, RecordComponent component)
            throws ReflectiveOperationException {
        if (component.getType() == boolean.class) {
            MethodType erased = MethodType.methodType(boolean.class, Object.class);
            Predicate<Object> flag = accessor(lookup, component, Predicate.class, "test", erased);
            return flag::test;
        }
        MethodType erased = MethodType.methodType(Object.class, Object.class);
        return accessor(lookup, component, Function.class, "apply", erased);
    }

    @SuppressWarnings("unchecked") // the metafactory makes an instance of the interface
    private static <F> F accessor(
            MethodHandles.Lookup lookup,
            RecordComponent component,
            Class<F> functionType,
            String methodName,
            MethodType erased)
            throws ReflectiveOperationException {
        MethodHandle handle = lookup.unreflect(component.getAccessor());
        Class<?> result =
                erased.returnType().isPrimitive()
                        ? erased.returnType()
                        : handle.type().returnType();
        try {
            return (F)
                    LambdaMetafactory.metafactory(
                                    lookup,
                                    methodName,
                                    MethodType.methodType(functionType),
                                    erased,
                                    handle,
                                    handle.type().changeReturnType(result))
                            .getTarget()
                            .invoke();
        } catch (Throwable e) { // what the method handle declares
            throw new ReflectiveOperationException("no accessor of " + component, e);
        }
    }
}

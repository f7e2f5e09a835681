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
 * Creates accessors of record components as plain functions. Recording runs on the router's thread,
 * where reflective calls would cost several times as much.
 */
final class ComponentAccessors {
    private ComponentAccessors() {}

    /** {@return the accessor of a {@code long} or {@code int} component} */
    @SuppressWarnings("unchecked") // accessor() returns the requested interface
    static ToLongFunction<Object> toLong(MethodHandles.Lookup lookup, RecordComponent component)
            throws ReflectiveOperationException {
        MethodType erased = MethodType.methodType(long.class, Object.class);
        return accessor(lookup, component, ToLongFunction.class, "applyAsLong", erased);
    }

    /** {@return the accessor of a {@code double} component} */
    @SuppressWarnings("unchecked") // accessor() returns the requested interface
    static ToDoubleFunction<Object> toDouble(MethodHandles.Lookup lookup, RecordComponent component)
            throws ReflectiveOperationException {
        MethodType erased = MethodType.methodType(double.class, Object.class);
        return accessor(lookup, component, ToDoubleFunction.class, "applyAsDouble", erased);
    }

    /** {@return the accessor of a component that is not numeric} */
    @SuppressWarnings("unchecked") // accessor() returns the requested interface
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

    @SuppressWarnings("unchecked") // the metafactory creates an instance of functionType
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
        } catch (Throwable e) { // declared by MethodHandle.invoke
            throw new ReflectiveOperationException("cannot create an accessor of " + component, e);
        }
    }
}

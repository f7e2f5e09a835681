package sorrelhoist.protocol.protobuf;

import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;

/**
 * Reads and writes messages whose fields are the components of a record, each annotated with {@link
 * ProtoField}. Fields are written in component order; unknown fields are skipped.
 *
 * <p>Supported component types and their field types: {@code int} (non-negative int32, uint32 or
 * enum; or sint32), {@code long} (uint64), {@code boolean}, {@code double}, {@code String}, {@code
 * byte[]}, and a {@code List} of records (repeated message).
 *
 * @param <T> the type of the record
 */
public final class MessageSchema<T extends Record> {
    /** A record component with its field number and type. */
    private record Field(int number, FieldType type, Method accessor) {}

    private final Constructor<T> constructor;
    private final Field[] fields;

    private MessageSchema(Constructor<T> constructor, Field[] fields) {
        this.constructor = constructor;
        this.fields = fields;
    }

    /**
     * Creates the schema of a record.
     *
     * @param type a public record
     * @param <T> the type of the record
     * @return the schema
     * @throws IllegalArgumentException if a component is not annotated or has an unsupported type,
     *     or the canonical constructor is not public
     */
    public static <T extends Record> MessageSchema<T> of(Class<T> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Field[] fields = Arrays.stream(components).map(MessageSchema::field).toArray(Field[]::new);
        try {
            return new MessageSchema<>(type.getConstructor(types), fields);
        } catch (NoSuchMethodException e) {
            throw new IllegalArgumentException(type + " has no public constructor", e);
        }
    }

    private static Field field(RecordComponent component) {
        ProtoField annotation = component.getAnnotation(ProtoField.class);
        if (annotation == null) {
            throw new IllegalArgumentException(component + " has no @ProtoField annotation");
        }
        return new Field(annotation.value(), type(component, annotation), component.getAccessor());
    }

    private static FieldType type(RecordComponent component, ProtoField annotation) {
        Class<?> type = component.getType();
        if (type == int.class) {
            return annotation.zigZag() ? FieldType.Scalar.SINT32 : FieldType.Scalar.COUNT;
        } else if (type == long.class) {
            return FieldType.Scalar.UINT64;
        } else if (type == boolean.class) {
            return FieldType.Scalar.BOOL;
        } else if (type == double.class) {
            return FieldType.Scalar.DOUBLE;
        } else if (type == String.class) {
            return FieldType.Scalar.STRING;
        } else if (type == byte[].class) {
            return FieldType.Scalar.BYTES;
        } else if (type == List.class) {
            return repeated((ParameterizedType) component.getGenericType());
        }
        throw new IllegalArgumentException(component + " has an unsupported type");
    }

    private static FieldType repeated(ParameterizedType list) {
        Class<?> element = (Class<?>) list.getActualTypeArguments()[0];
        return new FieldType.RepeatedMessage<>(of(element.asSubclass(Record.class)));
    }

    /** {@return the message decoded from {@code bytes}} */
    public T parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    /** {@return the message decoded from the rest of a reader's input} */
    public T read(ProtoReader in) throws ProtoException {
        Object[] values = new Object[fields.length];
        for (int i = 0; i < fields.length; i++) {
            values[i] = fields[i].type.defaultValue();
        }
        for (int number = in.nextField(); number != 0; number = in.nextField()) {
            int index = indexOf(number);
            if (index < 0) {
                in.skipField();
            } else {
                values[index] = fields[index].type.read(in, values[index]);
            }
        }
        try {
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create a " + constructor.getName(), e);
        }
    }

    private int indexOf(int number) {
        for (int i = 0; i < fields.length; i++) {
            if (fields[i].number == number) {
                return i;
            }
        }
        return -1;
    }

    /** {@return a writer that contains the encoded message} */
    public ProtoWriter write(T message) {
        ProtoWriter out = new ProtoWriter();
        for (Field field : fields) {
            field.type.write(out, field.number, valueOf(field, message));
        }
        return out;
    }

    private Object valueOf(Field field, T message) {
        try {
            return field.accessor.invoke(message);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read " + field.accessor, e);
        }
    }

    /** {@return the encoded message} */
    public byte[] toByteArray(T message) {
        return write(message).toByteArray();
    }
}

package sorrelhoist.protocol.protobuf;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a record component as a field of a message. The component's type determines the field's
 * type; see {@link MessageSchema}.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface ProtoField {
    /** The field's number. */
    int value();

    /** Whether an {@code int} component is encoded as sint32, which may be negative. */
    boolean zigZag() default false;
}

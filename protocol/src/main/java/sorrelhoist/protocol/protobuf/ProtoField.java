package sorrelhoist.protocol.protobuf;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a record's component as a field of a message. Its type on the wire follows from that of the
 * component; see {@link MessageSchema}.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface ProtoField {
    /** The field's number on the wire. */
    int value();

    /** Whether an int is of type sint32, which may be negative. */
    boolean zigZag() default false;
}

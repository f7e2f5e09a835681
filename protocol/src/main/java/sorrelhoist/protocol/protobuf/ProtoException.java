package sorrelhoist.protocol.protobuf;

/**
 * Signals bytes that are not a valid message of the protobuf wire format, or a message that exceeds
 * a limit.
 */
public final class ProtoException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception with a description of the error. */
    public ProtoException(String message) {
        super(message, null, false, false);
    }
}

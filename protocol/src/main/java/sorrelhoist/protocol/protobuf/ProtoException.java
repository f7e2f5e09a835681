package sorrelhoist.protocol.protobuf;

/** Bytes that are no message of the protobuf wire format, or one that exceeds what is taken. */
public final class ProtoException extends Exception {
    private static final long serialVersionUID = 1;

    /** Makes one with what is wrong. */
    public ProtoException(String message) {
        super(message, null, false, false);
    }
}

package sorrelhoist.protocol.hpack;

/**
 * Signals a header block that cannot be decoded. The connection's compression state is invalid
 * afterwards, so the connection has to be closed.
 */
public final class HpackException extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean tooLarge;

    HpackException(String message) {
        this(message, false);
    }

    HpackException(String message, boolean tooLarge) {
        super(message, null, false, false);
        this.tooLarge = tooLarge;
    }

    /** {@return whether the block exceeds the size limit but is well-formed up to that point} */
    public boolean tooLarge() {
        return tooLarge;
    }
}

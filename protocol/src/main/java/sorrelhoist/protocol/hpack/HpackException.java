package sorrelhoist.protocol.hpack;

/**
 * A header block that RFC 7541 does not allow; the connection's compression state is lost with it.
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

    /** {@return whether the block was well formed so far but decodes to more than the limit} */
    public boolean tooLarge() {
        return tooLarge;
    }
}

package sorrelhoist.protocol.http1;

/** Signals a message that is not valid HTTP/1.1 or that exceeds a limit of its decoder. */
public final class HttpDecodeException extends Exception {
    static final int BAD_REQUEST = 400;
    static final int CONTENT_TOO_LARGE = 413;
    static final int HEADER_FIELDS_TOO_LARGE = 431;
    private static final long serialVersionUID = 1;
    private final int status;

    /**
     * Creates the exception without a stack trace, because a peer can cause it at any rate.
     *
     * @param status the status of the response that reports the error
     * @param message description of the error, which is sent to the peer
     */
    HttpDecodeException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /**
     * Creates the exception for a malformed message.
     *
     * @param message description of the error, which is sent to the peer
     */
    HttpDecodeException(String message) {
        this(BAD_REQUEST, message);
    }

    /** {@return the status of the response that reports the error} */
    public int status() {
        return status;
    }
}

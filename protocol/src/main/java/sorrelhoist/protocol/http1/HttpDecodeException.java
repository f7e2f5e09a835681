package sorrelhoist.protocol.http1;

/** A message that is no valid HTTP/1.1, or exceeds a limit of its decoder. */
public final class HttpDecodeException extends Exception {
    private static final long serialVersionUID = 1;
    private final int status;

    /**
     * Creates the exception without a stack trace: peers can cause it as often as they like.
     *
     * @param status the status of the response that reports the error
     * @param message what is wrong, for the peer
     */
    HttpDecodeException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** {@return the status of the response that reports the error} */
    public int status() {
        return status;
    }
}

package sorrelhoist.protocol.http2;

/**
 * Signals that a peer violated RFC 9113: a stream error, or a connection error if the stream ID is
 * 0.
 */
public final class Http2Exception extends Exception {
    private static final long serialVersionUID = 1;
    private final ErrorCode code;
    private final int stream;

    private Http2Exception(ErrorCode code, int stream, String message) {
        super(message, null, false, false);
        this.code = code;
        this.stream = stream;
    }

    static Http2Exception connection(ErrorCode code, String message) {
        return new Http2Exception(code, 0, message);
    }

    static Http2Exception stream(ErrorCode code, int stream, String message) {
        return new Http2Exception(code, stream, message);
    }

    /** {@return the error code to send} */
    public ErrorCode code() {
        return code;
    }

    /** {@return the ID of the stream to reset, or 0 if the connection has to be closed} */
    public int stream() {
        return stream;
    }
}

package sorrelhoist.protocol.http2;

/** What a peer did against RFC 9113: an error of one stream, or of the connection (stream 0). */
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

    /** {@return the code to send} */
    public ErrorCode code() {
        return code;
    }

    /** {@return the stream to reset; 0 where the connection has to end} */
    public int stream() {
        return stream;
    }
}

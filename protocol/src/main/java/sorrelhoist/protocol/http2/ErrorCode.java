package sorrelhoist.protocol.http2;

/** The error codes of RFC 9113 section 7. A constant's ordinal is its number on the wire. */
public enum ErrorCode {
    NO_ERROR,
    PROTOCOL_ERROR,
    INTERNAL_ERROR,
    FLOW_CONTROL_ERROR,
    SETTINGS_TIMEOUT,
    STREAM_CLOSED,
    FRAME_SIZE_ERROR,
    REFUSED_STREAM,
    CANCEL,
    COMPRESSION_ERROR,
    CONNECT_ERROR,
    ENHANCE_YOUR_CALM,
    INADEQUATE_SECURITY,
    HTTP_1_1_REQUIRED;

    private static final ErrorCode[] ALL = values();

    /**
     * {@return the error code with a number; unknown numbers are treated as INTERNAL_ERROR (section
     * 7)}
     */
    public static ErrorCode of(long number) {
        return number >= 0 && number < ALL.length ? ALL[(int) number] : INTERNAL_ERROR;
    }
}

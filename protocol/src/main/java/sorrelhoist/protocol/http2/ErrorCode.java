package sorrelhoist.protocol.http2;

/** The error codes of RFC 9113 section 7, in their numbers' order. */
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

    /** {@return the code of this number; unknown ones count as INTERNAL_ERROR (section 7)} */
    public static ErrorCode of(long number) {
        return number >= 0 && number < ALL.length ? ALL[(int) number] : INTERNAL_ERROR;
    }
}

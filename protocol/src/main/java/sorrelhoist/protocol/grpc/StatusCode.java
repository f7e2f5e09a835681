package sorrelhoist.protocol.grpc;

/** The status codes of gRPC. A constant's ordinal is its number on the wire. */
public enum StatusCode {
    OK,
    CANCELLED,
    UNKNOWN,
    INVALID_ARGUMENT,
    DEADLINE_EXCEEDED,
    NOT_FOUND,
    ALREADY_EXISTS,
    PERMISSION_DENIED,
    RESOURCE_EXHAUSTED,
    FAILED_PRECONDITION,
    ABORTED,
    OUT_OF_RANGE,
    UNIMPLEMENTED,
    INTERNAL,
    UNAVAILABLE,
    DATA_LOSS,
    UNAUTHENTICATED;

    private static final StatusCode[] ALL = values();

    /**
     * {@return the code for the value of a grpc-status trailer; UNKNOWN if the value is invalid}
     */
    public static StatusCode parse(String value) {
        try {
            int number = Integer.parseInt(value);
            return number >= 0 && number < ALL.length ? ALL[number] : UNKNOWN;
        } catch (NumberFormatException e) {
            return UNKNOWN;
        }
    }
}

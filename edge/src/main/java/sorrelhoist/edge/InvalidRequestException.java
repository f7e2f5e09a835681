package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;

/** Thrown if a client's request is invalid; carries the status that ends its call. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient Status status;

    /**
     * Creates an exception without a stack trace, as invalid requests are part of normal operation.
     *
     * @param code the status code
     * @param message the status message, which tells the client what to correct
     */
    InvalidRequestException(StatusCode code, String message) {
        super(message, null, false, false);
        this.status = new Status(code, message);
    }

    /** Returns the status that ends the client's call. */
    Status status() {
        return status;
    }
}

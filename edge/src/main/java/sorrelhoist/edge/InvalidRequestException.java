package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;

/** A client's request that cannot be taken, with the status that ends its call. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient Status status;

    /**
     * Creates an exception without a stack trace, as it is part of normal service.
     *
     * @param code the status code
     * @param message what the client has to correct
     */
    InvalidRequestException(StatusCode code, String message) {
        super(message, null, false, false);
        this.status = new Status(code, message);
    }

    /** {@return the status that ends the call} */
    Status status() {
        return status;
    }
}

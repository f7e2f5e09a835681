package sorrelhoist.planner;

/** Thrown if a response of the registry has an error status or invalid content. */
final class RegistryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    RegistryException(String message) {
        super(message);
    }

    RegistryException(String message, Throwable cause) {
        super(message, cause);
    }
}

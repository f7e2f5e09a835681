package sorrelhoist.planner;

/** An answer of the registry that cannot be used. */
final class RegistryException extends RuntimeException {
    private static final long serialVersionUID = 1;

    RegistryException(String message) {
        super(message);
    }

    RegistryException(String message, Throwable cause) {
        super(message, cause);
    }
}

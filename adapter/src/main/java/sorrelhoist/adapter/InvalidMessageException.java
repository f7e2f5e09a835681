package sorrelhoist.adapter;

/** What was wrong on the wire, and where; its message is one plain line. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes one that says so. */
    public InvalidMessageException(String message) {
        super(message);
    }

    /** The same fault, with the place put before it. */
    InvalidMessageException at(String place) {
        return new InvalidMessageException(place + ": " + getMessage());
    }
}

package sorrelhoist.wire;

/** What was wrong on the wire, and where; its message is one plain line. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes one that says so. */
    public WireException(String message) {
        super(message);
    }

    /** The same fault, with the place put before it. */
    WireException at(String place) {
        return new WireException(place + ": " + getMessage());
    }
}

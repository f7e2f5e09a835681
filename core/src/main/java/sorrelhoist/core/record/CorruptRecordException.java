package sorrelhoist.core.record;

/** Bytes that are no record of this program, or damaged ones; the message says what was found. */
public final class CorruptRecordException extends Exception {
    private static final long serialVersionUID = 1;

    // No stack trace: damaged input is expected, and the message says all.
    CorruptRecordException(String message) {
        super(message, null, false, false);
    }
}

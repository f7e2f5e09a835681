package sorrelhoist.core.record;

/**
 * Thrown if bytes are damaged or are not a record of this program; the message says what was found.
 */
public final class CorruptRecordException extends Exception {
    private static final long serialVersionUID = 1;

    // No stack trace: damaged input is expected, and the message is sufficient.
    CorruptRecordException(String message) {
        super(message, null, false, false);
    }
}

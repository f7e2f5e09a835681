package sorrelhoist.core.record;

/** Bytes that are no record of this program, or damaged ones; the message says what was found. */
public final class CorruptRecordException extends Exception {
    private static final long serialVersionUID = 1;

    CorruptRecordException(String message) {
        super(message, null, false, false);
    }
}

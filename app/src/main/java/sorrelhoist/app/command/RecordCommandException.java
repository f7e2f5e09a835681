package sorrelhoist.app.command;

/** A problem of a record command that is told to the user in one line. */
final class RecordCommandException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception without a stack trace, which nobody would see. */
    RecordCommandException(String message) {
        super(message, null, false, false);
    }
}

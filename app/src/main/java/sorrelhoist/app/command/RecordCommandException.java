package sorrelhoist.app.command;

/** An error of a record command that is reported to the user in one line. */
final class RecordCommandException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception without a stack trace, since only its message is printed. */
    RecordCommandException(String message) {
        super(message, null, false, false);
    }
}

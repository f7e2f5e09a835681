package sorrelhoist.core.request;

/** Commands that concern clients and the log. */
public interface ClientCommands {
    /** Delivers a token or an opaque event to a client. */
    void deliverToken(Command.DeliverToken command);

    /** Delivers the final result to a client. */
    void finishRequest(Command.FinishRequest command);

    /** Writes a line to the log. */
    void writeLog(Command.WriteLog command);

    /** Reports the violation of an invariant. */
    void reportViolation(Command.ReportViolation command);
}

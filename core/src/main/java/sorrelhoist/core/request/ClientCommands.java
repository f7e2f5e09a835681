package sorrelhoist.core.request;

/** The commands that concern clients, and the log. */
public interface ClientCommands {
    /** Gives a client a token or an event. */
    void deliverToken(Command.DeliverToken command);

    /** Gives a client its final result. */
    void finishRequest(Command.FinishRequest command);

    /** Writes a line to the log. */
    void writeLog(Command.WriteLog command);

    /** Reports that what must always hold did not. */
    void reportViolation(Command.ReportViolation command);
}

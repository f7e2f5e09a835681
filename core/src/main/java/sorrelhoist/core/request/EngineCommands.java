package sorrelhoist.core.request;

/** The commands that concern engines. */
public interface EngineCommands {
    /** Sends a request to a reader. */
    void startPrefill(Command.StartPrefill command);

    /** Sends a request to a writer. */
    void startDecode(Command.StartDecode command);

    /** Gives up an attempt. */
    void cancelAttempt(Command.CancelAttempt command);

    /** Asks for a place. */
    void reserveDecodeSlot(Command.ReserveDecodeSlot command);

    /** Has something released that a request has reserved. */
    void releaseReservation(Command.ReleaseReservation command);

    /** Gives up the wait for a release's answer. */
    void abandonRelease(Command.AbandonRelease command);

    /** Reports what no engine has released in time. */
    void reportExpiredRelease(Command.ReportExpiredRelease command);

    /** Closes idle connections. */
    void closeIdleConnections(Command.CloseIdleConnections command);
}

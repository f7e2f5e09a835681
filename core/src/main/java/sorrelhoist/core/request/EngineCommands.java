package sorrelhoist.core.request;

/** The commands that concern engines. */
public interface EngineCommands {
    /** Sends a request to an engine that reads its prompt. */
    void startPrefill(Command.StartPrefill command);

    /** Sends a request to an engine that answers it. */
    void startDecode(Command.StartDecode command);

    /** Stops waiting for an attempt. */
    void cancelAttempt(Command.CancelAttempt command);

    /** Reserves a decode slot. */
    void reserveDecodeSlot(Command.ReserveDecodeSlot command);

    /** Has an engine release what it holds for a request. */
    void releaseReservation(Command.ReleaseReservation command);

    /** Stops waiting for a release's answer. */
    void abandonRelease(Command.AbandonRelease command);

    /** Asks an engine for a sign of life. */
    void checkReachability(Command.CheckReachability command);

    /** Reports that an attempt was taken for undelivered, or has arrived although it was. */
    void reportDelivery(Command.ReportDelivery command);

    /** Reports what no engine has released in time. */
    void reportExpiredRelease(Command.ReportExpiredRelease command);

    /** Reports what became of a reservation that was not taken in the ordinary way. */
    void reportReservation(Command.ReportReservation command);

    /** Closes idle connections. */
    void closeIdleConnections(Command.CloseIdleConnections command);
}

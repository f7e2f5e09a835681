package sorrelhoist.core.request;

/** Commands that concern engines. */
public interface EngineCommands {
    /** Sends a request to an engine that prefills its prompt. */
    void startPrefill(Command.StartPrefill command);

    /** Sends a request to an engine that decodes its answer. */
    void startDecode(Command.StartDecode command);

    /** Cancels an attempt. */
    void cancelAttempt(Command.CancelAttempt command);

    /** Reserves a decode slot. */
    void reserveDecodeSlot(Command.ReserveDecodeSlot command);

    /** Has an engine release what it holds for a request. */
    void releaseReservation(Command.ReleaseReservation command);

    /** Stops waiting for the answer to a release call. */
    void abandonRelease(Command.AbandonRelease command);

    /** Checks whether an engine is reachable. */
    void checkReachability(Command.CheckReachability command);

    /**
     * Reports that an attempt is considered undelivered, or that it has arrived after being
     * considered undelivered.
     */
    void reportDelivery(Command.ReportDelivery command);

    /** Reports reservations that no engine released in time, or that were dropped to make room. */
    void reportExpiredRelease(Command.ReportExpiredRelease command);

    /**
     * Reports that a reservation was released after an attempt had failed to use it, or that it has
     * been held beyond its time limit.
     */
    void reportReservation(Command.ReportReservation command);

    /** Closes idle connections to an engine. */
    void closeIdleConnections(Command.CloseIdleConnections command);
}

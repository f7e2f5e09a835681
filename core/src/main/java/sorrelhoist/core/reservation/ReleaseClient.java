package sorrelhoist.core.reservation;

/** Carries out what a {@link ReservationTable} decides. Called during the table's own methods. */
public interface ReleaseClient {
    /**
     * Calls an engine. Answered by {@link ReservationTable#releaseCompleted}, unless the call is
     * abandoned.
     */
    void release(ReleaseCall call);

    /** Stops waiting for a call's answer; nothing of it is reported any more. */
    void abandon(long call);

    /**
     * Nothing released a reservation in time; it is not tried any longer.
     *
     * @param key whose
     * @param engine the engine that was asked last, or that holds it
     * @param calls how many were made
     */
    void expired(ReservationKey key, String engine, int calls);

    /** A reservation is worth a line in the log. */
    void report(ReservationReport report);
}

package sorrelhoist.core.reservation;

/**
 * Carries out the decisions of a {@link ReservationTable}. Called from within the methods of the
 * table.
 */
public interface ReleaseClient {
    /**
     * Sends a release call to an engine. Its end is reported with {@link
     * ReservationTable#releaseCompleted}, unless the call is abandoned.
     */
    void release(ReleaseCall call);

    /** Abandons a call: its result must not be reported any more. */
    void abandon(long call);

    /**
     * Reports that no engine released a reservation in time, or that the reservation was evicted
     * from a full table. It is released no more if it was evicted or its reach is {@link
     * ReleaseReach#HOLDER}; otherwise its release is retried at a long interval.
     *
     * @param key the key of the reservation
     * @param engine the engine that was called last, or the holder if none was called
     * @param calls the number of calls since an engine last answered or the calls were abandoned
     */
    void expired(ReservationKey key, String engine, int calls);

    /** Logs a reservation that was not consumed in the ordinary way. */
    void report(ReservationReport report);
}

package sorrelhoist.core.reservation;

/** The running attempt of a request, in terms of the reservations of the request. */
final class ReservationAttempt {
    /** The delivery progress of the attempt. */
    private enum Progress {
        CONNECTING,
        WRITTEN,
        DELIVERED
    }

    final String engine;

    /**
     * Whether the holds were being released when this attempt was sent. The attempt stops that
     * release.
     */
    final boolean interruptedRelease;

    private final AttemptPurpose purpose;
    private final ReleasePolicy policy;
    private Progress progress = Progress.CONNECTING;
    private long writtenAt;

    ReservationAttempt(
            AttemptPurpose purpose,
            String engine,
            boolean interruptedRelease,
            ReleasePolicy policy) {
        this.purpose = purpose;
        this.engine = engine;
        this.interruptedRelease = interruptedRelease;
        this.policy = policy;
    }

    /** Records that the attempt waits for a connection to its engine. */
    void connecting() {
        progress = Progress.CONNECTING;
    }

    /** Records that the last byte was written. The delivery is not confirmed yet. */
    void written(long now) {
        progress = Progress.WRITTEN;
        writtenAt = now;
    }

    /** Records that the delivery was confirmed, directly or by inference. */
    void delivered() {
        progress = Progress.DELIVERED;
    }

    /** {@return whether the attempt is meant to consume the reservations} */
    boolean takesReservation() {
        return purpose == AttemptPurpose.DECODE_RESERVED;
    }

    /**
     * {@return whether any engine can release the holds and the attempt is a decode that may be at
     * an engine, so that the answer to a release proves nothing}
     */
    boolean isDecodeInFlight() {
        return policy.reach() == ReleaseReach.ANY_ENGINE
                && purpose != AttemptPurpose.PREFILL
                && progress != Progress.CONNECTING;
    }

    /**
     * {@return when the holds are released even though this attempt may consume them, in
     * microseconds; Long.MAX_VALUE for never} The delivery of a decode may be inferred from other
     * connections only: its own connection may be silent, and its engine may be gone by now. The
     * holds are therefore released even if the decode counts as delivered.
     *
     * @param idleSince when the idle time of the holds began, in microseconds
     */
    long releasableFrom(long idleSince) {
        long ordinary = idleSince + policy.idleMicros();
        long latest = idleSince + policy.latestStartMicros();
        return switch (progress) {
            case CONNECTING -> ordinary;
            case WRITTEN ->
                    Math.max(ordinary, Math.min(writtenAt + policy.confirmationMicros(), latest));
            case DELIVERED ->
                    isDecodeInFlight() ? idleSince + policy.renewMicros() : Long.MAX_VALUE;
        };
    }
}

package sorrelhoist.core.reservation;

/** The running attempt of a request, as far as it concerns what is reserved. */
final class ReservationAttempt {
    /** How far it has come. */
    private enum Progress {
        CONNECTING,
        WRITTEN,
        DELIVERED
    }

    final String engine;

    /** Whether the holds were being released until this attempt went out. */
    final boolean stoppedRelease;

    private final AttemptPurpose purpose;
    private final ReleasePolicy policy;
    private Progress progress = Progress.CONNECTING;
    private long writtenAt;

    ReservationAttempt(
            AttemptPurpose purpose, String engine, boolean stoppedRelease, ReleasePolicy policy) {
        this.purpose = purpose;
        this.engine = engine;
        this.stoppedRelease = stoppedRelease;
        this.policy = policy;
    }

    /** A connection to its engine has to come up first. */
    void connecting() {
        progress = Progress.CONNECTING;
    }

    /** Its last byte was written; nothing shows yet that its engine has it. */
    void written(long now) {
        progress = Progress.WRITTEN;
        writtenAt = now;
    }

    /** Its engine has it, as far as evidence goes. */
    void delivered() {
        progress = Progress.DELIVERED;
    }

    /** {@return whether it is to take what is reserved} */
    boolean takesReservation() {
        return purpose == AttemptPurpose.DECODE_RESERVED;
    }

    /**
     * {@return whether it is a decode that may be with an engine, so that a release proves nothing}
     */
    boolean isDecodeOut() {
        return policy.reach() == ReleaseReach.ANY_ENGINE
                && purpose != AttemptPurpose.PREFILL
                && progress != Progress.CONNECTING;
    }

    /**
     * {@return from when on what it may take is released all the same; Long.MAX_VALUE for never}
     * That its engine has it is inferred from other connections: its own may be silent, and its
     * engine may be gone by now.
     *
     * @param idleSince since when that waits
     */
    long releasableFrom(long idleSince) {
        long ordinary = idleSince + policy.idleMicros();
        long latest = idleSince + policy.latestStartMicros();
        return switch (progress) {
            case CONNECTING -> ordinary;
            case WRITTEN ->
                    Math.max(ordinary, Math.min(writtenAt + policy.confirmationMicros(), latest));
            case DELIVERED -> isDecodeOut() ? idleSince + policy.renewMicros() : Long.MAX_VALUE;
        };
    }
}

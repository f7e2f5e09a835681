package sorrelhoist.core.delivery;

/** What is known of the way of one attempt to its engine. */
public final class AttemptDelivery {
    /** How far an attempt has come, as far as anything shows it. */
    public enum State {
        /** Its connection has to come up first, so nothing of it is written. */
        CONNECTING,
        /** Its last byte was written; nothing shows yet that its engine has it. */
        WRITTEN,
        /** Its engine has it. */
        DELIVERED
    }

    /** What shows that an engine has an attempt. */
    public enum Evidence {
        /** The transport cannot tell what is written, so delivery is taken for granted. */
        ASSUMED,
        /** The engine answered a call on another connection that was written after the attempt. */
        ENGINE_RESPONSIVE,
        /** The engine answered the attempt itself. */
        ANSWERED
    }

    private final String engine;
    private State state = State.DELIVERED;
    private Evidence evidence = Evidence.ASSUMED;
    private long writtenAt;
    private boolean reportedUnconfirmed;

    /**
     * Makes the delivery of an attempt whose transport may not be able to tell what is written:
     * until it says otherwise, the attempt counts as delivered.
     *
     * @param engine where the attempt goes
     */
    public AttemptDelivery(String engine) {
        this.engine = engine;
    }

    /** {@return the engine that the attempt goes to} */
    public String engine() {
        return engine;
    }

    /** {@return how far it has come} */
    public State state() {
        return state;
    }

    /** {@return what shows that it was delivered; null while nothing does} */
    public Evidence evidence() {
        return evidence;
    }

    /** {@return when its last byte was written, in microseconds} */
    public long writtenAt() {
        return writtenAt;
    }

    /** {@return whether its last byte was written, as far as its transport can tell} */
    public boolean isWritten() {
        return state != State.CONNECTING;
    }

    /** {@return whether its engine has it} */
    public boolean isDelivered() {
        return state == State.DELIVERED;
    }

    /** {@return whether it was reported as unconfirmed} */
    public boolean wasReportedUnconfirmed() {
        return reportedUnconfirmed;
    }

    /** Its connection has to come up first. */
    public void connecting() {
        state = State.CONNECTING;
        evidence = null;
    }

    /** Its last byte was written. */
    void written(long now) {
        state = State.WRITTEN;
        writtenAt = now;
    }

    /** Something shows that its engine has it. */
    void delivered(Evidence shownBy) {
        state = State.DELIVERED;
        evidence = shownBy;
    }

    void reportUnconfirmed() {
        reportedUnconfirmed = true;
    }

    @Override
    public String toString() {
        return state + (evidence == null ? "" : " (" + evidence + ")");
    }
}

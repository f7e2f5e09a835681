package sorrelhoist.core.delivery;

/** The delivery state of one attempt to its engine. */
public final class AttemptDelivery {
    /** The delivery progress of an attempt, as far as it is known. */
    public enum State {
        /** The attempt waits for a connection, so none of it is written. */
        CONNECTING,
        /** The last byte was written; the delivery is not confirmed yet. */
        WRITTEN,
        /** The delivery was confirmed, or is assumed. */
        DELIVERED
    }

    /** The evidence for a delivery. */
    public enum Evidence {
        /** The transport does not report writes, so the delivery is assumed. */
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
     * Creates the delivery state of an attempt whose transport may not report writes: until {@link
     * #connecting()} is called, the attempt counts as delivered.
     *
     * @param engine the engine that the attempt is sent to
     */
    public AttemptDelivery(String engine) {
        this.engine = engine;
    }

    /** {@return the engine that the attempt is sent to} */
    public String engine() {
        return engine;
    }

    /** {@return the delivery progress} */
    public State state() {
        return state;
    }

    /** {@return the evidence for the delivery; null while there is none} */
    public Evidence evidence() {
        return evidence;
    }

    /** {@return when the last byte was written, in microseconds} */
    public long writtenAt() {
        return writtenAt;
    }

    /**
     * {@return whether the last byte was written; also true if the transport does not report
     * writes}
     */
    public boolean isWritten() {
        return state != State.CONNECTING;
    }

    /** {@return whether the delivery was confirmed or is assumed} */
    public boolean isDelivered() {
        return state == State.DELIVERED;
    }

    /** {@return whether the attempt was reported as unconfirmed} */
    public boolean wasReportedUnconfirmed() {
        return reportedUnconfirmed;
    }

    /** Marks the attempt as waiting for a connection. */
    public void connecting() {
        state = State.CONNECTING;
        evidence = null;
    }

    /** Marks the last byte as written. */
    void written(long now) {
        state = State.WRITTEN;
        writtenAt = now;
    }

    /** Marks the delivery as confirmed. */
    void delivered(Evidence newEvidence) {
        state = State.DELIVERED;
        evidence = newEvidence;
    }

    void markReportedUnconfirmed() {
        reportedUnconfirmed = true;
    }

    @Override
    public String toString() {
        return state + (evidence == null ? "" : " (" + evidence + ")");
    }
}

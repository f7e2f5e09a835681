package sorrelhoist.core.request;

import sorrelhoist.core.delivery.AttemptDelivery;

/** One send of a request to one engine, until its one outcome. */
final class Attempt {
    final RequestState request;
    final AttemptId id;
    final String engine;

    /** Index of the engine's kind in the routing settings. */
    final int engineKind;

    final boolean prefill;
    final long sentAt;

    /** Whether its outcome is known. */
    boolean ended;

    /** Whether its first token came. */
    boolean streaming;

    /** What is known of its way to its engine. */
    final AttemptDelivery delivery;

    /** When its latest token came, or its client took tokens again. */
    long lastTokenAt;

    Attempt(
            RequestState request,
            AttemptId id,
            String engine,
            int engineKind,
            boolean prefill,
            long sentAt) {
        this.request = request;
        this.id = id;
        this.engine = engine;
        this.engineKind = engineKind;
        this.prefill = prefill;
        this.sentAt = sentAt;
        this.delivery = new AttemptDelivery(engine);
    }
}

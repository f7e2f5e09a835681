package sorrelhoist.core.request;

import sorrelhoist.core.delivery.AttemptDelivery;

/** One send of a request to one engine. Every attempt ends with exactly one outcome. */
final class Attempt {
    final RequestState request;
    final AttemptId id;
    final String engine;

    /** Index of the engine's kind in the routing settings. */
    final int engineKind;

    final boolean prefill;
    final long sentAt;

    /** Whether the outcome of the attempt is known. */
    boolean ended;

    /** Whether the first token was received. */
    boolean streaming;

    /** What is known about whether the attempt reached its engine. */
    final AttemptDelivery delivery;

    /** When the latest token was received or the client resumed reading, whichever is later. */
    long lastTokenAt;

    /** When the latest bytes of an opaque event were received, whether it was complete or not. */
    long lastBytesAt;

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

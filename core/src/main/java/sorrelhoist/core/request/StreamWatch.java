package sorrelhoist.core.request;

import sorrelhoist.routing.Routing.Idempotency;

/**
 * What is judged of a stream after its first token, where Decide stops: how long it may be silent,
 * how long its client may take nothing, that it ends with its client's time, and whether a broken
 * one goes on elsewhere. Answers times and verdicts; the router sets alarms and acts.
 */
final class StreamWatch {
    private final Liveness liveness;
    private final RouterSettings settings;

    StreamWatch(RouterSettings settings) {
        this.settings = settings;
        this.liveness = new Liveness(settings.routing().serverKinds().size());
    }

    /** A token came on a stream that had begun. */
    void token(Life.Attempt a, long now) {
        liveness.gap(a.kind, now - a.heardAt);
    }

    /**
     * {@return when a stream counts as dead if nothing comes before; never while its client holds
     * it back}
     */
    long deadAt(Life life, Life.Attempt a) {
        long silence = settings.streams().silenceTimeoutMicros();
        return life.blockedSince > 0
                ? Long.MAX_VALUE
                : a.heardAt + (silence > 0 ? silence : liveness.patience(a.kind));
    }

    /**
     * {@return when to look: patience shrinks as streams are seen, so at least as often as the
     * shortest}
     */
    static long lookAt(long due, long now) {
        return Math.min(due, now + Liveness.FLOOR);
    }

    /**
     * The client takes nothing for now, or takes again. {@return when it is given up; 0 for no
     * news}
     */
    long blocked(Life life, boolean blocked, long now) {
        if (blocked == life.blockedSince > 0) {
            return 0;
        }
        life.blockedSince = blocked ? Math.max(1, now) : 0;
        if (!blocked && life.out != null) {
            life.out.heardAt = now;
        }
        return blocked ? now + settings.clientStallTimeoutMicros() : 0;
    }

    /** {@return whether a client that took nothing since then is given up now} */
    static boolean stalled(Life life, long since) {
        return !life.finished && life.blockedSince == since;
    }

    /**
     * {@return whether a client's time ends a stream; until the first token Decide holds the
     * deadline}
     */
    static boolean expires(Life life) {
        return !life.finished && life.phase == Phase.STREAMING;
    }

    /**
     * {@return whether a broken stream goes on elsewhere: where the deployment resumes and a repeat
     * is harmless}
     */
    boolean goesOn(Life life, long now) {
        boolean safe =
                settings.routing().classes().get(life.call.classIndex()).idempotency()
                        == Idempotency.SAFE;
        return settings.resumesBrokenStreams()
                && safe
                && now < life.endsBy
                && life.resumptions < settings.routing().capabilities().maxAttempts();
    }
}

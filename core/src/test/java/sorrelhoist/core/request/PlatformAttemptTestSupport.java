package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Base for tests of a router on the platform, in which the test controls the transport and the
 * time.
 */
abstract class PlatformAttemptTestSupport {
    static final long BUDGET = 4 * Fleet.SECOND;
    static final long STEP = 1000;
    static final long PREFILLED = 10_000;

    final List<Command> commands = new ArrayList<>();
    final Router router = new Router(Fleet.platformSettings(false, BUDGET), commands::add);
    long now;

    /** Client ID of the request under test. */
    long client;

    PlatformAttemptTestSupport() {
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    <T extends Command> List<T> all(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    void advanceTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            router.advance(now);
        }
    }

    /**
     * Reports that an attempt waits for a connection and is then written, as by a transport that
     * connects at once and whose operating system accepts the bytes.
     */
    Command.StartAttempt reportWritten(Command.StartAttempt attempt) {
        router.attemptConnecting(now, attempt.attempt());
        router.attemptWritten(now, attempt.attempt());
        return attempt;
    }

    Command.StartDecode startWrittenDecode(int requestClass) {
        client = router.requestArrived(now, Fleet.call(requestClass, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        reportWritten(prefill);
        advanceTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        reportWritten(decode);
        return decode;
    }

    void answerReleases() {
        all(Command.ReleaseReservation.class)
                .forEach(release -> router.releaseCompleted(now, release.releaseId(), true));
    }

    /**
     * Reports bytes of a running stream from an engine. They do not show that anything sent
     * recently has arrived.
     */
    void reportStreamBytes(String engine) {
        router.bytesReceived(now, engine);
    }

    /**
     * Reports that an engine begins to answer a call whose last byte was written at {@code
     * writtenAt}, in microseconds.
     */
    void reportCallAnswered(String engine, long writtenAt) {
        router.bytesReceived(now, engine);
        router.callAnswered(now, engine, writtenAt);
    }
}

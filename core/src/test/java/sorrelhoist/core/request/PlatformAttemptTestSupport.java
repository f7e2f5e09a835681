package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** A router on the operators' platform, its transport and time in the test's hands. */
abstract class PlatformAttemptTestSupport {
    static final long BUDGET = 4 * Fleet.SECOND;
    static final long STEP = 1000;
    static final long PREFILLED = 10_000;

    final List<Command> commands = new ArrayList<>();
    final Router router = new Router(Fleet.platformSettings(false, BUDGET), commands::add);
    long now;

    /** The client of {@link #decodeWritten}. */
    long client;

    PlatformAttemptTestSupport() {
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    <T extends Command> List<T> all(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    void passTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            router.advance(now);
        }
    }

    /** A transport that connects at once and whose writes its own system takes. */
    Command.StartAttempt written(Command.StartAttempt attempt) {
        router.attemptConnecting(now, attempt.attempt());
        router.attemptWritten(now, attempt.attempt());
        return attempt;
    }

    Command.StartDecode decodeWritten(int requestClass) {
        client = router.requestArrived(now, Fleet.call(requestClass, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        written(prefill);
        passTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        written(decode);
        return decode;
    }

    void answerReleases() {
        all(Command.ReleaseReservation.class)
                .forEach(release -> router.releaseCompleted(now, release.releaseId(), true));
    }

    /** Bytes of a running stream came from an engine; nothing that was sent now has caused them. */
    void streamEventReceived(String engine) {
        router.bytesReceived(now, engine);
    }

    /** An engine began to answer a call whose last byte was written at a time, in microseconds. */
    void questionAnswered(String engine, long writtenAt) {
        router.bytesReceived(now, engine);
        router.callAnswered(now, engine, writtenAt);
    }
}

package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** Tests the time limit of what is held for requests whose attempts fail one after another. */
class HoldTimeLimitTest extends AnsweringEnginesTestSupport {
    private static final long LIMIT_MILLIS = Fleet.RELEASE / STEP;

    /**
     * With this budget, the first decode is cancelled after 384 ms, immediately before a release of
     * its state is due.
     */
    private static final long SHORT_BUDGET = 650 * STEP;

    /** A router of a deployment whose decode engines may prefill prompts. */
    private final Router prefillingRouter =
            new Router(Fleet.platformSettings(true, BUDGET), commands::add);

    private <T extends Command> T last(Class<T> type) {
        List<T> every = all(type);
        return every.get(every.size() - 1);
    }

    /** The connection of the decode is established after a release was sent and answered. */
    @Test
    void aDecodeWhoseStateWasReleasedWhileConnectingIsNotSentToAnotherDecodeEngine() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        reportWritten(prefill);
        advanceAnsweringTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        router.attemptConnecting(now, decode.attempt());
        advanceAnsweringTo(PREFILLED + 3 * Fleet.RELEASE / 5);
        assertTrue(releases() > 0, "no release was sent");
        router.attemptWritten(now, decode.attempt());
        advanceAnsweringTo(now + 10 * STEP);
        router.attemptFailed(now, decode.attempt(), Outcome.FULL, 0, ServerLoad.NONE);
        assertEquals(
                1,
                all(Command.StartDecode.class).size(),
                "decode sent to another engine although its state was released");
        assertEquals(2, all(Command.StartPrefill.class).size());
    }

    /**
     * Loses a prefill while all prefill engines are draining, so that decode engines have to
     * prefill the prompt. The state that the lost prefill may have produced is not released yet.
     */
    private void losePrefill() {
        prefillingRouter.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        prefillingRouter.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill prefill = last(Command.StartPrefill.class);
        prefillingRouter.attemptConnecting(now, prefill.attempt());
        prefillingRouter.attemptWritten(now, prefill.attempt());
        prefillingRouter.endpointsUpdated(now, ListUpdateKind.UPDATE, drainingPrefillEngines());
        prefillingRouter.attemptFailed(now, prefill.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        assertEquals(1, all(Command.StartDecode.class).size());
    }

    private static List<Server> drainingPrefillEngines() {
        return Fleet.servers().stream()
                .filter(server -> server.id().startsWith("r"))
                .map(
                        server ->
                                new Server(
                                        server.id(),
                                        server.zone(),
                                        server.kind(),
                                        server.cell(),
                                        ServerState.DRAINING,
                                        server.size(),
                                        server.since()))
                .toList();
    }

    private void advancePrefillingRouterTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            prefillingRouter.advance(now);
        }
    }

    private void assertReleasedInTime() {
        int releases = all(Command.ReleaseReservation.class).size();
        int decodes = all(Command.StartDecode.class).size();
        assertTrue(
                releases > 0,
                "no release sent within " + now + " us, with " + decodes + " decodes");
    }

    @Test
    void aDecodeThatNeverConnectedDoesNotRestartTheTimeLimitOfALostPrefill() {
        losePrefill();
        for (int decode = 0; decode < 2; decode++) {
            Command.StartDecode connecting = last(Command.StartDecode.class);
            prefillingRouter.attemptConnecting(now, connecting.attempt());
            advancePrefillingRouterTo(now + Fleet.RELEASE / 2 - STEP);
            prefillingRouter.attemptFailed(
                    now, connecting.attempt(), Outcome.CONNECT_FAILED, 0, ServerLoad.NONE);
        }
        advancePrefillingRouterTo(Fleet.RELEASE);
        assertReleasedInTime();
    }

    @Test
    void anUnconfirmedDecodeDoesNotRestartTheTimeLimitOfALostPrefill() {
        losePrefill();
        int written = 0;
        while (now < Fleet.RELEASE) {
            if (all(Command.StartDecode.class).size() > written) {
                written++;
                Command.StartDecode silent = last(Command.StartDecode.class);
                prefillingRouter.attemptConnecting(now, silent.attempt());
                prefillingRouter.attemptWritten(now, silent.attempt());
            }
            advancePrefillingRouterTo(now + STEP);
        }
        assertReleasedInTime();
    }

    /**
     * Both decodes are on connections that pass no data, while their engines answer on other
     * connections.
     */
    @Test
    void aSecondDecodeAnsweredOnlyOnOtherConnectionsDoesNotRestartTheTimeLimitOfItsState() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, SHORT_BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        reportWritten(prefill);
        advanceAnsweringTo(PREFILLED);
        reportCallAnswered(prefill.engine(), now - STEP);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        reportWritten(all(Command.StartDecode.class).get(0));
        while (all(Command.StartDecode.class).size() < 2) {
            assertTrue(now < SHORT_BUDGET, "decode not sent to another engine");
            advanceAnsweringTo(now + STEP);
        }
        reportWritten(last(Command.StartDecode.class));
        advanceAnsweringTo(PREFILLED + 2 * Fleet.RELEASE);
        long pause = longestPauseMillis(PREFILLED, lastReleaseAt());
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }

    /**
     * Clients disconnect while their prefills are running at engines that answer. After each
     * cancelled prefill, the router waits for a response from its engine.
     */
    @Test
    void clientsThatDisconnectDoNotMultiplyTheReleasesOfOtherRequests() {
        Command.StartDecode slow = startWrittenDecode(Fleet.UNSAFE);
        advanceAnsweringTo(PREFILLED + Fleet.RELEASE);
        long before = releasesOf(slow.requestName());
        long from = now;
        while (now < from + 2 * Fleet.SECOND) {
            long other = router.requestArrived(now, callNamed("other" + now));
            reportWritten(last(Command.StartPrefill.class));
            advanceAnsweringTo(now + 5 * STEP);
            reportCallAnswered(last(Command.StartPrefill.class).engine(), now - STEP);
            router.clientDisconnected(now, other);
            advanceAnsweringTo(now + 45 * STEP);
        }
        long made = releasesOf(slow.requestName()) - before;
        assertTrue(made <= 6, made + " releases of one request within 2 s");
    }

    private static InferenceRequest callNamed(String name) {
        return InferenceRequest.builder("x".repeat(400), 100, 10)
                .clientRequestId(name)
                .classIndex(Fleet.SAFE)
                .session(name)
                .timeoutMicros(BUDGET)
                .build();
    }

    private long releasesOf(String name) {
        return all(Command.ReleaseReservation.class).stream()
                .filter(release -> release.requestName().equals(name))
                .count();
    }
}

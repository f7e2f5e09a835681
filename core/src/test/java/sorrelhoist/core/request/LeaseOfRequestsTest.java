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
class LeaseOfRequestsTest extends AnsweringEnginesTestSupport {
    private static final long LIMIT_MILLIS = Fleet.RELEASE / STEP;

    /**
     * With this budget, the first decode is cancelled after 384 ms, immediately before a release of
     * its state is due.
     */
    private static final long SHORT_BUDGET = 650 * STEP;

    /** A router of a deployment whose decode engines may prefill prompts. */
    private final Router reading = new Router(Fleet.platformSettings(true, BUDGET), commands::add);

    private <T extends Command> T last(Class<T> type) {
        List<T> every = all(type);
        return every.get(every.size() - 1);
    }

    /** The connection of the decode is established after a release was sent and answered. */
    @Test
    void aDecodeWhoseStateWasReleasedAsItsConnectionCameUpIsNotSentToAnotherDecoder() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        written(prefill);
        passAnsweringTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        router.attemptConnecting(now, decode.attempt());
        passAnsweringTo(PREFILLED + 3 * Fleet.RELEASE / 5);
        assertTrue(releases() > 0, "no release was sent");
        router.attemptWritten(now, decode.attempt());
        passAnsweringTo(now + 10 * STEP);
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
    private void prefillLost() {
        reading.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        reading.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill prefill = last(Command.StartPrefill.class);
        reading.attemptConnecting(now, prefill.attempt());
        reading.attemptWritten(now, prefill.attempt());
        reading.endpointsUpdated(now, ListUpdateKind.UPDATE, drainingReaders());
        reading.attemptFailed(now, prefill.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        assertEquals(1, all(Command.StartDecode.class).size());
    }

    private static List<Server> drainingReaders() {
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

    private void passReadingTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            reading.advance(now);
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
    void aDecodeThatNeverConnectedDoesNotRestartTheTimeOfWhatALostPrefillMayLeave() {
        prefillLost();
        for (int decode = 0; decode < 2; decode++) {
            Command.StartDecode connecting = last(Command.StartDecode.class);
            reading.attemptConnecting(now, connecting.attempt());
            passReadingTo(now + Fleet.RELEASE / 2 - STEP);
            reading.attemptFailed(
                    now, connecting.attempt(), Outcome.CONNECT_FAILED, 0, ServerLoad.NONE);
        }
        passReadingTo(Fleet.RELEASE);
        assertReleasedInTime();
    }

    @Test
    void aDecodeThatNothingConfirmsDoesNotRestartTheTimeOfWhatALostPrefillMayLeave() {
        prefillLost();
        int written = 0;
        while (now < Fleet.RELEASE) {
            if (all(Command.StartDecode.class).size() > written) {
                written++;
                Command.StartDecode silent = last(Command.StartDecode.class);
                reading.attemptConnecting(now, silent.attempt());
                reading.attemptWritten(now, silent.attempt());
            }
            passReadingTo(now + STEP);
        }
        assertReleasedInTime();
    }

    /**
     * Both decodes are on connections that pass no data, while their engines answer on other
     * connections.
     */
    @Test
    void aSecondDecodeThatOnlyOtherConnectionsSpeakForDoesNotRestartTheTimeOfItsState() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, SHORT_BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        written(prefill);
        passAnsweringTo(PREFILLED);
        questionAnswered(prefill.engine(), now - STEP);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        written(all(Command.StartDecode.class).get(0));
        while (all(Command.StartDecode.class).size() < 2) {
            assertTrue(now < SHORT_BUDGET, "decode not sent to another engine");
            passAnsweringTo(now + STEP);
        }
        written(last(Command.StartDecode.class));
        passAnsweringTo(PREFILLED + 2 * Fleet.RELEASE);
        long pause = longestPauseMillis(PREFILLED, lastReleaseAt());
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }

    /**
     * Clients disconnect while their prefills are running at engines that answer. After each
     * cancelled prefill, the router waits for a response from its engine.
     */
    @Test
    void clientsThatLeaveDoNotMultiplyTheReleasesOfOtherRequests() {
        Command.StartDecode slow = decodeWritten(Fleet.UNSAFE);
        passAnsweringTo(PREFILLED + Fleet.RELEASE);
        long before = releasesOf(slow.requestName());
        long from = now;
        while (now < from + 2 * Fleet.SECOND) {
            long other = router.requestArrived(now, callNamed("other" + now));
            written(last(Command.StartPrefill.class));
            passAnsweringTo(now + 5 * STEP);
            questionAnswered(last(Command.StartPrefill.class).engine(), now - STEP);
            router.clientDisconnected(now, other);
            passAnsweringTo(now + 45 * STEP);
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

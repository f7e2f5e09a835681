package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Tests a router that forwards opaque events of its engines, and whose clients reconnect by
 * themselves for the rest of an interrupted stream.
 */
class OpaqueStreamsTest {
    private static final long SILENCE = 4 * Fleet.SECOND;
    private final List<Command> commands = new ArrayList<>();
    private final Router router =
            new Router(
                    new RouterSettings(
                            new RouterIdentity("edge", 1),
                            Fleet.decide(true),
                            new RequestTimeouts(
                                    List.of(Long.MAX_VALUE / 4, 0L, 0L), List.of(0L, 0L, 0L), 0),
                            StreamSettings.ofOpaqueEvents(
                                    true, new SilenceLimits(SILENCE, SILENCE), Fleet.STALL),
                            100,
                            ReleaseReach.ANY_ENGINE,
                            7),
                    commands::add);

    private <T extends Command> T last(Class<T> type) {
        return commands.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private long count(Class<? extends Command> type) {
        return commands.stream().filter(type::isInstance).count();
    }

    private Command.StartDecode startDecode() {
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        router.requestArrived(0, Fleet.call(Fleet.SAFE, 1, 2 * Fleet.SECOND));
        router.prefillCompleted(
                10_000, last(Command.StartPrefill.class).attempt(), "", 0, ServerLoad.NONE);
        return last(Command.StartDecode.class);
    }

    private void advance(long from, long to) {
        for (long t = from; t <= to; t += 1000) {
            router.advance(t);
        }
    }

    @Test
    void eventsAreForwardedUnchangedAndNotCountedAgainstTheTokenLimit() {
        Command.StartDecode w = startDecode();
        Object[] events = {new Object(), new Object(), new Object()};
        for (Object event : events) {
            assertTrue(router.opaqueEventReceived(20_000, w.attempt(), event));
            assertSame(event, last(Command.DeliverToken.class).attachment());
        }
        router.opaqueStreamCompleted(30_000, w.attempt(), 5, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Served.class, last(Command.FinishRequest.class).result());
        assertFalse(router.opaqueEventReceived(40_000, w.attempt(), new Object()));
        assertEquals(0, router.metrics().knownRequests());
    }

    @Test
    void enginesKnowARequestByItsClientsName() {
        Command.StartDecode w = startDecode();
        assertEquals("c", w.requestName());
        assertEquals("c", last(Command.StartPrefill.class).requestName());
    }

    @Test
    void theClientsDeadlineDoesNotEndAStreamThatHasBegun() {
        Command.StartDecode w = startDecode();
        router.opaqueEventReceived(20_000, w.attempt(), "e");
        advance(20_000, 3 * Fleet.SECOND);
        assertEquals(0, count(Command.FinishRequest.class));
        router.opaqueEventReceived(3 * Fleet.SECOND, w.attempt(), "e");
        router.opaqueStreamCompleted(3 * Fleet.SECOND, w.attempt(), 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Served.class, last(Command.FinishRequest.class).result());
    }

    @Test
    void aSilentStreamEndsAfterThePlatformsLimitAndNotBefore() {
        Command.StartDecode w = startDecode();
        router.opaqueEventReceived(20_000, w.attempt(), "e");
        advance(20_000, SILENCE);
        assertEquals(0, count(Command.FinishRequest.class));
        advance(SILENCE, SILENCE + 30_000);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
    }

    /** Guards against a cut of a stream whose engine still sends parts of an event. */
    @Test
    void bytesOfAnEventKeepAStreamAlive() {
        Command.StartDecode w = startDecode();
        router.opaqueEventReceived(20_000, w.attempt(), "e");
        for (long t = 3 * Fleet.SECOND; t <= 9 * Fleet.SECOND; t += 3 * Fleet.SECOND) {
            router.opaqueBytesReceived(t, w.attempt());
            advance(t, t + 3 * Fleet.SECOND - 1000);
        }
        assertEquals(0, count(Command.FinishRequest.class));
        advance(12 * Fleet.SECOND, 13 * Fleet.SECOND + 30_000);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
    }

    @Test
    void aGracefulShutdownMigratesOnlyStreamsThatHaveBegun() {
        Command.StartDecode w = startDecode();
        assertEquals(0, router.migratableStreams());
        router.opaqueEventReceived(20_000, w.attempt(), "e");
        router.requestArrived(30_000, Fleet.call(Fleet.SAFE, 1, 2 * Fleet.SECOND));
        assertEquals(1, router.migratableStreams());
        router.migrateYoungestStreams(40_000, 5);
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, router.metrics().openRequests());
    }

    @Test
    void aBrokenStreamFailsAndIsLeftToTheClientToResume() {
        Command.StartDecode w = startDecode();
        router.opaqueEventReceived(20_000, w.attempt(), "e");
        router.attemptFailed(30_000, w.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, count(Command.StartPrefill.class));
        assertEquals(0, router.metrics().knownRequests());
    }
}

package sorrelhoist.core.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.Routing.*;
import sorrelhoist.core.reservation.ReleaseReach;

/**
 * A router whose answers are events of its engines, and whose clients come again for the rest by
 * themselves.
 */
class OpaqueStreamsTest {
    private static final long SILENCE = 4 * Fleet.SECOND;
    private final List<Command> orders = new ArrayList<>();
    private final Router router =
            new Router(
                    new RouterSettings(
                            "edge",
                            1,
                            Fleet.decide(true),
                            List.of(Long.MAX_VALUE / 4, 0L, 0L),
                            List.of(0L, 0L, 0L),
                            0,
                            false,
                            Fleet.STALL,
                            100,
                            7,
                            new Streams(true, false, SILENCE, true),
                            ReleaseReach.ANY_ENGINE),
                    orders::add);

    private <T extends Command> T last(Class<T> type) {
        return orders.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private long count(Class<? extends Command> type) {
        return orders.stream().filter(type::isInstance).count();
    }

    private Command.Write placed() {
        router.members(0, ListForm.COMPLETE, Fleet.servers());
        router.arrived(0, Fleet.call(Fleet.SAFE, 1, 2 * Fleet.SECOND));
        router.readDone(10_000, last(Command.Read.class).attempt(), "", 0, Load.NONE);
        return last(Command.Write.class);
    }

    private void pass(long from, long to) {
        for (long t = from; t <= to; t += 1000) {
            router.advance(t);
        }
    }

    @Test
    void eventsArePassedOnAsTheyAreAndNotCountedAgainstTheMostTokens() {
        Command.Write w = placed();
        Object[] events = {new Object(), new Object(), new Object()};
        for (Object event : events) {
            assertTrue(router.event(20_000, w.attempt(), event));
            assertSame(event, last(Command.Deliver.class).ticket());
        }
        router.streamWhole(30_000, w.attempt(), 5, Load.NONE);
        assertInstanceOf(Answer.Served.class, last(Command.Finish.class).answer());
        assertFalse(router.event(40_000, w.attempt(), new Object()));
        assertEquals(0, router.known());
    }

    @Test
    void enginesKnowARequestByItsClientsName() {
        Command.Write w = placed();
        assertEquals("c", w.name());
        assertEquals("c", last(Command.Read.class).name());
    }

    @Test
    void theClientsTimeDoesNotEndAStreamThatHasBegun() {
        Command.Write w = placed();
        router.event(20_000, w.attempt(), "e");
        pass(20_000, 3 * Fleet.SECOND);
        assertEquals(0, count(Command.Finish.class));
        router.event(3 * Fleet.SECOND, w.attempt(), "e");
        router.streamWhole(3 * Fleet.SECOND, w.attempt(), 0, Load.NONE);
        assertInstanceOf(Answer.Served.class, last(Command.Finish.class).answer());
    }

    @Test
    void aSilentStreamEndsAfterThePlatformsLimitAndNotBefore() {
        Command.Write w = placed();
        router.event(20_000, w.attempt(), "e");
        pass(20_000, SILENCE);
        assertEquals(0, count(Command.Finish.class));
        pass(SILENCE, SILENCE + 30_000);
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(w.attempt(), last(Command.Drop.class).attempt());
    }

    @Test
    void aDepartureMovesWhatHasBegunAndNothingElse() {
        Command.Write w = placed();
        assertEquals(0, router.movable());
        router.event(20_000, w.attempt(), "e");
        router.arrived(30_000, Fleet.call(Fleet.SAFE, 1, 2 * Fleet.SECOND));
        assertEquals(1, router.movable());
        router.moveYoungest(40_000, 5);
        assertEquals(w.attempt(), last(Command.Drop.class).attempt());
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(1, router.open());
    }

    @Test
    void aBrokenStreamIsTheClientsToAskForAgain() {
        Command.Write w = placed();
        router.event(20_000, w.attempt(), "e");
        router.attemptLost(30_000, w.attempt(), Outcome.RESET, 0, Load.NONE);
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(1, count(Command.Read.class));
        assertEquals(0, router.known());
    }
}

package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Attempts whose last byte was written, and of whose engine nothing shows that it has them. */
class UndeliveredAttemptTest {
    private static final long BUDGET = 4 * Fleet.SECOND;
    private static final long STEP = 1000;
    private static final long PREFILLED = 10_000;

    private final List<Command> commands = new ArrayList<>();
    private final Router router =
            new Router(
                    new RouterSettings(
                            new RouterIdentity("router", 1),
                            Fleet.decide(true),
                            new RequestTimeouts(
                                    List.of(BUDGET, BUDGET, BUDGET), List.of(0L, 0L, 0L), 0),
                            StreamSettings.ofOpaqueEvents(true, Fleet.SECOND, Fleet.STALL),
                            100,
                            ReleaseReach.ANY_ENGINE,
                            7),
                    commands::add);
    private long now;

    UndeliveredAttemptTest() {
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    private <T extends Command> List<T> all(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private void passTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            router.advance(now);
        }
    }

    /** A transport that connects at once and whose writes its own system takes. */
    private Command.StartAttempt written(Command.StartAttempt attempt) {
        router.attemptConnecting(now, attempt.attempt());
        router.attemptWritten(now, attempt.attempt());
        return attempt;
    }

    private Command.StartDecode decodeWritten(int requestClass) {
        router.requestArrived(now, Fleet.call(requestClass, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        written(prefill);
        passTo(PREFILLED);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        written(decode);
        return decode;
    }

    @Test
    void aStateIsReleasedInTimeWhereNothingShowsThatItsDecodeArrived() {
        decodeWritten(Fleet.UNSAFE);
        passTo(PREFILLED + Fleet.RELEASE - STEP);
        assertTrue(all(Command.ReleaseReservation.class).size() > 0, "nothing was released");
        assertEquals(1, all(Command.StartDecode.class).size(), "it may have run");
    }

    @Test
    void aDecodeThatNothingConfirmsGoesToAnotherEngineWithinTheLimitOfItsState() {
        Command.StartDecode first = decodeWritten(Fleet.SAFE);
        passTo(PREFILLED + Fleet.RELEASE / 2);
        List<Command.StartDecode> decodes = all(Command.StartDecode.class);
        assertEquals(2, decodes.size());
        assertNotEquals(first.engine(), decodes.get(1).engine());
        assertEquals(
                List.of(first.attempt()),
                all(Command.CancelAttempt.class).stream()
                        .map(Command.CancelAttempt::attempt)
                        .toList());
    }
}

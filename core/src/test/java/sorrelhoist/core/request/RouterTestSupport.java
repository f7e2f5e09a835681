package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Base for tests of single requests, with a router whose commands are recorded. */
abstract class RouterTestSupport {
    final List<Command> commands = new ArrayList<>();
    Router router = router(true, true);

    Router router(boolean cancel, boolean resumes) {
        commands.clear();
        Router r = new Router(Fleet.settings(cancel, resumes, 7), commands::add);
        r.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        return r;
    }

    <T extends Command> T last(Class<T> type) {
        List<T> all = all(type);
        assertTrue(!all.isEmpty(), "no command of type " + type.getSimpleName());
        return all.get(all.size() - 1);
    }

    <T extends Command> List<T> all(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    Command.StartDecode startedDecode(long at, int cls, int tokens, long timeout) {
        router.requestArrived(at, Fleet.call(cls, tokens, timeout));
        Command.StartPrefill read = last(Command.StartPrefill.class);
        router.prefillCompleted(at + 10_000, read.attempt(), "s1", 0, ServerLoad.NONE);
        return last(Command.StartDecode.class);
    }

    void assertNothingLeft() {
        assertEquals(0, router.metrics().openRequests());
        assertEquals(0, router.metrics().knownRequests());
        assertEquals(0, router.metrics().runningAttempts());
        assertEquals(0, router.metrics().wantedReservations());
    }

    Command.StartDecode decodeAfterPrefill(long client) {
        router.prefillCompleted(
                10_000, last(Command.StartPrefill.class).attempt(), "s1", 0, ServerLoad.NONE);
        return last(Command.StartDecode.class);
    }
}

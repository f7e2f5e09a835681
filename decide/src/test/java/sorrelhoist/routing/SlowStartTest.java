package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.defaultSettings;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.withState;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** Tests that a restarted server is sent few requests, and for no longer than the limits say. */
class SlowStartTest {
    private static final long HOUR = 3600 * SECOND;
    private static final long WARM_UP_MICROS = 12 * SECOND;
    private static final long WINDOW = 3 * SECOND;
    private static final int MAX_SENDS_WHILE_COLD =
            4; // same bound as in PlacementTest#aWarmingUpServerIsNotOverloaded
    private static final int REQUESTS = 30;
    private final RoutingPolicy policy = new RoutingPolicy(defaultSettings(), 1);
    private long now = 100 * HOUR;
    private long ids;

    private void updateList(ListUpdateKind form, long r1Since) {
        List<Server> servers =
                fleet().stream()
                        .map(
                                s ->
                                        s.id().equals("r1")
                                                ? withState(s, ServerState.SERVING, r1Since)
                                                : s)
                        .toList();
        policy.onEvent(
                now,
                new Members(form, form == ListUpdateKind.UPDATE ? servers.subList(0, 1) : servers));
    }

    /**
     * {@return the number of requests that are sent to r1, out of {@link #REQUESTS} within one
     * window}
     */
    private int sentInAWindow() {
        int sent = 0;
        for (int i = 0; i < REQUESTS; i++) {
            now += WINDOW / REQUESTS;
            for (Send read :
                    all(
                            policy.onEvent(now, request(++ids, "s" + ids, null, 1000, 0)),
                            Send.class)) {
                sent += read.server().equals("r1") ? 1 : 0;
                for (Send write :
                        all(
                                policy.onEvent(now, ended(read, 0, Outcome.READ, 40_000, 0)),
                                Send.class)) {
                    policy.onEvent(now, ended(write, 1, Outcome.DONE, 40_000, 0));
                }
            }
        }
        return sent;
    }

    /**
     * Another start time means another process, even if the translation between clocks puts it
     * before the former one.
     */
    @ParameterizedTest
    @ValueSource(longs = {-7300, 0})
    void anotherStartTimeMeansAnotherProcessEvenIfItIsEarlier(long stepSeconds) {
        updateList(ListUpdateKind.COMPLETE, now - 2 * HOUR);
        Send held =
                all(policy.onEvent(now, request(++ids, "kept", null, 1000, 0)), Send.class).get(0);
        policy.onEvent(now, ended(held, 0, Outcome.READ, 40_000, 0));
        updateList(ListUpdateKind.UPDATE, now + stepSeconds * SECOND);
        assertTrue(
                policy.exportKnowledge(now, 10).keys().stream()
                        .filter(k -> k.name().equals("kept"))
                        .flatMap(k -> k.holders().stream())
                        .noneMatch(h -> h.server().equals("r1")),
                "the former process's cache is lost");
    }

    @ParameterizedTest
    @ValueSource(longs = {3600, 1_000_000_000, Long.MAX_VALUE / 2_000_000})
    void noServerWarmsUpForLongerThanTheLimitsSay(long stepSeconds) {
        updateList(ListUpdateKind.COMPLETE, now + stepSeconds * SECOND);
        assertTrue(
                sentInAWindow() <= MAX_SENDS_WHILE_COLD,
                "a server with a start time in the future is cold");
        now += WARM_UP_MICROS;
        assertTrue(
                sentInAWindow() > MAX_SENDS_WHILE_COLD,
                "the server is warm after the warm-up time");
    }

    @Test
    void aRepeatedListIsNoRestart() {
        updateList(ListUpdateKind.COMPLETE, now - 2 * HOUR);
        long since = now - 2 * HOUR;
        int before = sentInAWindow();
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, List.of()));
        now += HOUR;
        updateList(ListUpdateKind.COMPLETE, since);
        assertTrue(
                before > MAX_SENDS_WHILE_COLD && sentInAWindow() > MAX_SENDS_WHILE_COLD,
                "the same process is still warm when it is listed again");
    }

    @Test
    void aStartingRouterUsesTheStartTimesOfItsFirstList() {
        updateList(ListUpdateKind.COMPLETE, now - WARM_UP_MICROS - SECOND);
        assertTrue(sentInAWindow() > MAX_SENDS_WHILE_COLD);
    }
}

package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.*;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Routing.*;

/** Each test is named after the failure that it guards against. */
class DecideTest {
    private final RoutingPolicy decide = start(plain(), fleet());
    private long now = 10 * SECOND;

    private static RoutingPolicy start(RoutingSettings settings, List<Server> servers) {
        RoutingPolicy d = new RoutingPolicy(settings, 7);
        d.onEvent(10 * SECOND, new Members(ListUpdateKind.RESTORED, servers));
        return d;
    }

    private Send arrive(long id, String session, String prefix, long prompt, long prefixTokens) {
        return send(decide.onEvent(now, request(id, session, prefix, prompt, prefixTokens)));
    }

    private Send read(Send s, long kept) {
        now += 50_000;
        return send(decide.onEvent(now, ended(s, 0, Outcome.READ, 50_000, kept)));
    }

    /** Ends a read and then its answer; returns where it was written. */
    private String answer(Send s, int attempt, long took) {
        Send w = send(decide.onEvent(now, ended(s, attempt, Outcome.READ, took, 0)));
        decide.onEvent(now, new StreamStarted(w.id(), attempt + 1, w.server(), 20_000));
        decide.onEvent(now, ended(w, attempt + 1, Outcome.DONE, 20_000, 0));
        return w.server();
    }

    /** Reads and answers one request to its end; returns the reader. */
    private String serve(
            long id, String session, String prefix, long prompt, long prefixTokens, long kept) {
        Send s = arrive(id, session, prefix, prompt, prefixTokens);
        Send w = read(s, kept);
        decide.onEvent(now, new StreamStarted(id, 1, w.server(), 20_000));
        decide.onEvent(now, ended(w, 1, Outcome.DONE, 20_000, 0));
        return s.server();
    }

    @Test
    void aSessionIsReadWhereItsTextIsKept() {
        String first = serve(1, "a", null, 1000, 0, 0);
        for (int turn = 2; turn < 6; turn++) {
            now += 11 * SECOND;
            assertEquals(first, serve(turn, "a", null, 1000 + 100 * turn, 0, 1000));
        }
    }

    @Test
    void routersAgreeOnTheReaderOfAnUnseenPrefix() {
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            String prefix = "p" + i;
            RoutingPolicy other = new RoutingPolicy(plain(), 1000 + i);
            other.onEvent(0, new Members(ListUpdateKind.RESTORED, fleet()));
            String here =
                    send(start(plain(), fleet())
                                    .onEvent(10 * SECOND, request(1, "x", prefix, 900, 800)))
                            .server();
            assertEquals(here, send(other.onEvent(0, request(1, "y", prefix, 900, 800))).server());
            readers.add(here);
        }
        assertTrue(readers.size() > 2, "the hash should spread keys: " + readers);
    }

    @Test
    void anUnmatchedRestExploresTheLightestReader() {
        String holder = serve(1, "a", "p", 4000, 1000, 0);
        assertNotEquals(holder, arrive(2, "b", "p", 4000, 1000).server());
    }

    @Test
    void exploitTrafficOfTheHeaviestReaderShifts() {
        String home = serve(1, "s0", "p", 1000, 900, 0);
        Set<String> readers = new HashSet<>();
        for (int i = 2; i < 60; i++) {
            readers.add(serve(i, "s" + i, "p", 1400, 900, 900));
        }
        assertTrue(readers.contains(home) && readers.size() > 1, "only " + readers);
    }

    @Test
    void theWriterIsChosenNearTheReaderAfterTheRead() {
        for (int i = 0; i < 30; i++) {
            List<Action> onArrival = decide.onEvent(now, request(i, "s" + i, null, 800, 0));
            Send s = send(onArrival);
            assertTrue(all(onArrival, Reserve.class).isEmpty());
            String w = answer(s, 0, 50_000);
            boolean near = List.of("r1", "r2").contains(s.server());
            assertTrue(
                    List.of(near ? "w1" : "w3", near ? "w2" : "w4").contains(w), s + " then " + w);
        }
    }

    @Test
    void aRestartForgetsWhatTheServerKept() {
        Send first = arrive(1, "a", null, 4000, 0);
        answer(first, 0, 50_000);
        Server home =
                fleet().stream()
                        .filter(s -> s.id().equals(first.server()))
                        .findFirst()
                        .orElseThrow();
        decide.onEvent(
                now,
                new Members(ListUpdateKind.UPDATE, List.of(with(home, ServerState.SERVING, now))));
        now += 13 * SECOND;
        decide.onEvent(now, new TimerFired(99));
        Set<String> readers = new HashSet<>();
        for (int i = 2; i < 6; i++) {
            readers.add(arrive(i, "a" + i, null, 4000, 0).server());
        }
        assertTrue(readers.size() > 1);
    }

    @Test
    void aRefusedConnectIsRetriedElsewhereAtOnce() {
        Send s = arrive(1, "a", null, 1000, 0);
        Send again = send(decide.onEvent(now + 300, ended(s, 0, Outcome.CONNECT_FAILED, 300, 0)));
        assertNotEquals(s.server(), again.server());
    }

    /**
     * While connections to writers do not come up, what was read waits on; a second wait would pin
     * it.
     */
    @Test
    void aStateIsReadAnewRatherThanPinnedWhileWritersCannotBeReached() {
        Send w = read(arrive(1, "a", null, 1000, 0), 0);
        assertEquals(1, w.id());
        assertTrue(w.server().startsWith("w"));
        now += 20_000;
        Send quick = send(decide.onEvent(now, ended(w, 1, Outcome.CONNECT_FAILED, 20_000, 0)));
        assertTrue(
                quick.server().startsWith("w"),
                "a refused connection costs the state next to no time");
        now += 240_000;
        Send anew = send(decide.onEvent(now, ended(quick, 2, Outcome.CONNECT_FAILED, 240_000, 0)));
        assertTrue(
                anew.server().startsWith("r"),
                anew + ": the same wait again would hold the state for too long");
        Send last = send(decide.onEvent(now + 50_000, ended(anew, 3, Outcome.READ, 50_000, 900)));
        assertTrue(last.server().startsWith("w"));
    }

    /**
     * The deadline is for the first token; a stream that has begun is neither refused nor cut by
     * it.
     */
    @Test
    void theDeadlineStopsWithTheFirstToken() {
        Send w = read(arrive(1, "a", null, 1000, 0), 0);
        decide.onEvent(now, new StreamStarted(1, 1, w.server(), 20_000));
        assertEquals(List.of(), decide.onEvent(now + 5 * SECOND, new TimerFired(1)));
    }

    @Test
    void aBlackHoleLeavesTimeForAnotherAttempt() {
        Send s = arrive(1, "a", null, 1000, 0);
        assertTrue(s.cutAt() - now < 3 * SECOND, "cut after " + (s.cutAt() - now));
        now = s.cutAt();
        assertNotEquals(
                s.server(),
                send(decide.onEvent(now, ended(s, 0, Outcome.TIMED_OUT, 0, 0))).server());
    }

    @Test
    void aFastFailerThatLooksIdleIsSetAside() {
        int hits = 0;
        for (int i = 0; i < 40; i++) {
            Send s = arrive(i, "s" + i, null, 1000, 0);
            now += 40_000;
            if (s.server().equals("r1")) {
                hits++;
                s = send(decide.onEvent(now, ended(s, 0, Outcome.ERROR, 1000, 0)));
                answer(s, 1, 30_000);
            } else {
                answer(s, 0, 30_000);
            }
        }
        assertTrue(hits >= 1 && hits <= 6, "hits " + hits);
    }

    @Test
    void aSlowReaderIsSetAsideAndComesBack() {
        int slowHits = 0;
        for (int i = 0; i < 60; i++) {
            now += 50_000;
            Send s = arrive(i, "s" + i, null, 1000, 0);
            boolean slow = s.server().equals("r1");
            slowHits += slow && i >= 30 ? 1 : 0;
            answer(s, 0, slow ? 900_000 : 40_000);
        }
        assertTrue(slowHits <= 4, "sent " + slowHits);
        int later = 0;
        for (int i = 60; i < 300; i++) {
            now += 50_000;
            Send s = arrive(i, "s" + i, null, 1000, 0);
            later += s.server().equals("r1") ? 1 : 0;
            answer(s, 0, 40_000);
        }
        assertTrue(later > 8, "came back with " + later);
    }

    @Test
    void aFaultCommonToAllLeavesCandidates() {
        int sends = 0;
        for (int i = 0; i < 80; i++) {
            now += 100_000;
            List<Action> actions = decide.onEvent(now, request(i, "s" + i, null, 1000, 0));
            for (int n = 0; !all(actions, Send.class).isEmpty(); n++) {
                sends++;
                actions = decide.onEvent(now, ended(send(actions), n, Outcome.ERROR, 500, 0));
            }
        }
        assertTrue(sends >= 80, "sends " + sends);
    }

    @Test
    void aRetryStormIsBounded() {
        int sends = 0;
        for (int i = 0; i < 200; i++) {
            now += 20_000;
            List<Action> actions = decide.onEvent(now, request(i, "s" + i, null, 1000, 0));
            for (int n = 0; !all(actions, Send.class).isEmpty(); n++) {
                sends++;
                actions = decide.onEvent(now, ended(send(actions), n, Outcome.ERROR, 500, 0));
            }
        }
        assertTrue(sends < 270, "sends " + sends);
    }

    @Test
    void aDrainIsObeyedAtOnce() {
        List<Server> draining =
                fleet().stream()
                        .map(
                                s ->
                                        s.id().equals("r1") || s.id().equals("w1")
                                                ? with(s, ServerState.DRAINING, 0)
                                                : s)
                        .toList();
        decide.onEvent(now, new Members(ListUpdateKind.COMPLETE, draining));
        for (int i = 0; i < 40; i++) {
            Send s = arrive(i, "s" + i, null, 1000, 0);
            assertNotEquals("r1", s.server());
            assertNotEquals("w1", answer(s, 0, 50_000));
        }
    }

    @Test
    void aStateIsLetGoWhenNoWriterIsThere() {
        RoutingPolicy d = start(plain(), List.of(reader("r1", 0)));
        Send s = send(d.onEvent(now, request(1, "a", null, 1000, 0)));
        List<Action> actions =
                new ArrayList<>(d.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
        long until = now;
        while (all(actions, Release.class).isEmpty()) {
            until += all(actions, Timer.class).get(0).delayMicros();
            actions = d.onEvent(until, new TimerFired(1));
        }
        assertTrue(until - now < RELEASE);
        assertEquals(1, all(actions, Refuse.class).size());
    }

    @Test
    void aStateReadForADepartedClientIsLetGo() {
        Send s = arrive(1, "a", null, 1000, 0);
        assertEquals(1, all(decide.onEvent(now, new ClientGone(1)), Cancel.class).size());
        assertEquals(
                List.of(new Release(1)), decide.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
    }

    @Test
    void aLostStateIsReadAgain() {
        Send w = read(arrive(1, "a", null, 1000, 0), 0);
        Send again = send(decide.onEvent(now, ended(w, 1, Outcome.FULL, 500, 1)));
        assertTrue(again.server().startsWith("r"));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFails() {
        RoutingPolicy d =
                start(
                        settings(Idempotency.UNSAFE, IdempotencyScope.ALL, false, List.of()),
                        fleet());
        Send s = send(d.onEvent(now, request(1, "a", null, 1000, 0)));
        Send w = send(d.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
        List<Action> actions = d.onEvent(now, ended(w, 1, Outcome.RESET, 500, 0));
        assertEquals(1, all(actions, Fail.class).size());
        assertTrue(all(actions, Send.class).isEmpty() && all(actions, Refuse.class).isEmpty());
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsGroup() {
        RoutingPolicy d =
                start(
                        settings(Idempotency.KEYED, IdempotencyScope.CELL, false, List.of()),
                        fleet());
        Send s = send(d.onEvent(now, request(1, "a", null, 1000, 0)));
        Send w = send(d.onEvent(now, ended(s, 0, Outcome.READ, 40_000, 0)));
        Send again = send(d.onEvent(now, ended(w, 1, Outcome.ERROR, 500, 0)));
        Set<String> cell =
                w.server().matches("w[12]")
                        ? Set.of("r1", "r2", "w1", "w2")
                        : Set.of("r3", "r4", "w3", "w4");
        assertTrue(cell.contains(again.server()));
        Send write = send(d.onEvent(now, ended(again, 2, Outcome.READ, 40_000, 0)));
        assertTrue(write.server().startsWith("w") && cell.contains(write.server()));
    }

    @Test
    void aColdServerIsNotPushedOver() {
        List<Server> cold =
                fleet().stream()
                        .map(s -> s.id().equals("r1") ? with(s, ServerState.SERVING, now) : s)
                        .toList();
        decide.onEvent(now, new Members(ListUpdateKind.COMPLETE, cold));
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            now += 100_000;
            Send s = arrive(i, "s" + i, null, 1000, 0);
            sent += s.server().equals("r1") ? 1 : 0;
            answer(s, 0, 40_000);
        }
        assertTrue(sent <= 4, "sent " + sent);
    }

    @Test
    void anEmptyListRefusesAtOnceWithAHint() {
        RoutingPolicy d = start(plain(), List.of());
        List<Refuse> refused = all(d.onEvent(now, request(1, null, null, 1000, 0)), Refuse.class);
        assertEquals(1, refused.size());
        assertTrue(refused.get(0).backoffMicros() > 0);
    }

    @Test
    void writersThatReadAnswerWhenNoReaderIsLeft() {
        List<Server> writers = List.of(writer("w1", 0));
        assertEquals(
                "w1",
                send(start(
                                        settings(
                                                Idempotency.SAFE,
                                                IdempotencyScope.ALL,
                                                true,
                                                List.of()),
                                        writers)
                                .onEvent(now, request(1, "a", null, 1000, 0)))
                        .server());
        assertTrue(
                all(
                                start(plain(), writers)
                                        .onEvent(now, request(1, "a", null, 1000, 0)),
                                Send.class)
                        .isEmpty());
    }

    @Test
    void mixedServersTakeTheirShareWhole() {
        List<Server> fleet = new ArrayList<>(fleet());
        fleet.add(new Server("m1", 0, 2, 0, ServerState.SERVING, 8, 0));
        RoutingPolicy d = start(plain(), fleet);
        int mixed = 0;
        for (int i = 0; i < 100; i++) {
            now += 100_000;
            Send s = send(d.onEvent(now, request(i, "s" + i, null, 100, 0)));
            mixed += s.server().equals("m1") ? 1 : 0;
            Outcome outcome = s.server().equals("m1") ? Outcome.DONE : Outcome.READ;
            for (Send w : all(d.onEvent(now, ended(s, 0, outcome, 10_000, 0)), Send.class)) {
                d.onEvent(now, ended(w, 1, Outcome.DONE, 10_000, 0));
            }
        }
        assertTrue(mixed > 25 && mixed < 75, "mixed " + mixed);
    }

    @Test
    void aTenantBeyondItsShareMakesRoomFirst() {
        RoutingPolicy d =
                start(
                        settings(
                                Idempotency.SAFE,
                                IdempotencyScope.ALL,
                                false,
                                List.of(new Tenant(2), new Tenant(50))),
                        fleet());
        int[] refused = new int[2];
        for (int i = 0; i < 200; i++) {
            now += 10_000;
            Arrived a = new Arrived(i, 0, i % 2, "s" + i, null, 3000, 0, 200, 4 * SECOND);
            refused[i % 2] += all(d.onEvent(now, a), Refuse.class).size();
        }
        assertTrue(refused[0] > refused[1], refused[0] + " against " + refused[1]);
    }

    @Test
    void aFailedCallToDiscoveryIsRepeatedLater() {
        RoutingPolicy d =
                new RoutingPolicy(
                        settings(
                                Idempotency.SAFE,
                                IdempotencyScope.ALL,
                                false,
                                List.of(),
                                true,
                                LoadReportMode.NONE,
                                false,
                                true,
                                5),
                        1);
        assertTrue(
                d.onEvent(now, new Members(ListUpdateKind.RESTORED, fleet()))
                        .contains(new Follow(true)));
        Timer again =
                all(d.onEvent(now, new Members(ListUpdateKind.UNAVAILABLE, List.of())), Timer.class)
                        .get(0);
        assertTrue(
                d.onEvent(now + again.delayMicros(), new TimerFired(again.token()))
                        .contains(new Follow(true)));
    }

    @Test
    void probesAreSentOnlyWhereAllowedAndNeeded() {
        RoutingSettings pull =
                settings(
                        Idempotency.SAFE,
                        IdempotencyScope.ALL,
                        false,
                        List.of(),
                        false,
                        LoadReportMode.IN_PROBES,
                        true,
                        true,
                        5);
        for (RoutingSettings s : List.of(pull, plain())) {
            RoutingPolicy d = new RoutingPolicy(s, 1);
            Timer tick =
                    all(d.onEvent(now, new Members(ListUpdateKind.RESTORED, fleet())), Timer.class)
                            .get(0);
            for (int i = 0; i < 20; i++) {
                d.onEvent(now, request(i, "s" + i, null, 1000, 0));
            }
            List<Action> later = d.onEvent(now + tick.delayMicros(), new TimerFired(tick.token()));
            assertEquals(s == pull, !all(later, Probe.class).isEmpty());
        }
    }

    @Test
    void aWriterWhoseFirstTokensHangIsPassedOver() {
        Set<String> hanging = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            hanging.add(read(arrive(i, "s" + i, null, 1000, 0), 0).server());
        }
        now += 700_000;
        for (int i = 4; i < 12 && hanging.size() < 4; i++) {
            List<Send> sends =
                    all(decide.onEvent(now, request(i, "s" + i, null, 1000, 0)), Send.class);
            for (Send s : sends) {
                assertFalse(hanging.contains(answer(s, 0, 50_000)));
            }
        }
    }

    @Test
    void aJammedReaderIsPassedOverThoughItKeepsTheText() {
        String home = serve(1, "a", null, 1000, 0, 0);
        now += 11 * SECOND;
        assertEquals(home, arrive(2, "a", null, 1100, 0).server());
        now += 900_000;
        assertNotEquals(home, arrive(3, "a", null, 1200, 0).server());
    }

    @Test
    void aLostAnswerIsNotTakenForAJam() {
        String home = serve(1, "a", null, 1000, 0, 0);
        now += 11 * SECOND;
        assertEquals(home, arrive(2, "a", null, 1100, 0).server());
        now += 50_000;
        answer(arrive(3, "a", null, 1150, 0), 0, 50_000);
        now += 900_000;
        assertEquals(home, arrive(4, "a", null, 1200, 0).server());
    }

    @Test
    void whatWouldComeLateIsRefusedAtOnce() {
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            refused +=
                    all(decide.onEvent(now, request(i, "s" + i, null, 3000, 0)), Refuse.class)
                            .size();
        }
        assertTrue(refused > 50 && refused < 96, "refused " + refused);
    }

    /**
     * Spoilt answers: the writer had fetched the state, and another had to read the whole prompt by
     * itself.
     */
    @Test
    void afterAnAnswerThatBrokeOffThePromptIsReadAnewAtAReader() {
        for (Outcome broke : List.of(Outcome.ERROR, Outcome.RESET)) {
            RoutingPolicy d =
                    start(
                            settings(Idempotency.SAFE, IdempotencyScope.ALL, true, List.of()),
                            fleet());
            Send read = send(d.onEvent(now, request(1, "s", null, 3000, 0)));
            Send write = send(d.onEvent(now, ended(read, 0, Outcome.READ, 10_000, 0)));
            Send again = send(d.onEvent(now, ended(write, 1, broke, 10_000, 0)));
            assertEquals(read.server(), again.server(), "the one that has kept the text");
            Send other = send(d.onEvent(now, ended(again, 2, Outcome.READ, 10_000, 3000)));
            assertTrue(other.server().startsWith("w") && !other.server().equals(write.server()));
        }
    }

    /**
     * A crash of servers breaks many answers at once: by the first aim alone their clients were
     * turned away.
     */
    @Test
    void whoComesForTheRestOfAnAnswerIsLetInBeyondTheAimButNotWithoutEnd() {
        int[] refused = new int[2];
        for (int kind = 0; kind < 2; kind++) {
            RoutingPolicy d = start(plain(), fleet());
            for (int i = 0; i < 100; i++) {
                Arrived a =
                        new Arrived(i, 0, 0, "s" + i, null, 3000, 0, 200, 4 * SECOND, kind == 1);
                refused[kind] += all(d.onEvent(now, a), Refuse.class).size();
            }
        }
        assertTrue(
                refused[1] > 0 && refused[1] < refused[0] - 10,
                refused[1] + " against " + refused[0]);
    }

    /**
     * Workers come and go under new ids all day: what is known of those that left must not add up.
     */
    @Test
    void workersThatLeftForGoodLeaveNothingBehind() {
        List<Server> present = new ArrayList<>(fleet());
        for (int i = 0; i < 400; i++) {
            now += 5 * SECOND;
            Server old = present.remove(0);
            Server fresh =
                    new Server(
                            "n" + i, old.zone(), old.kind(), old.cell(), ServerState.SERVING, 1, 0);
            present.add(fresh);
            decide.onEvent(
                    now,
                    new Members(
                            ListUpdateKind.UPDATE, List.of(with(old, ServerState.GONE, 0), fresh)));
            serve(i, "s" + i, null, 1000, 0, 0);
        }
        int known = decide.exportKnowledge(now, 100).servers().size();
        assertTrue(
                known <= fleet().size() + 2 * 60 / 5, known + " servers known of 8 that are there");
    }

    @Test
    void oddButLegalHistoriesDoNotThrow() {
        Send s = arrive(1, "a", null, 1000, 0);
        decide.onEvent(now, new ClientGone(1));
        decide.onEvent(now, new ClientGone(1));
        decide.onEvent(now, ended(s, 0, Outcome.CANCELLED, 10, 0));
        decide.onEvent(now, ended(s, 0, Outcome.READ, 10, 0));
        decide.onEvent(now, new TimerFired(1));
        decide.onEvent(now, new TimerFired(1));
        decide.onEvent(now, new StreamStarted(1, 0, "r1", 5));
        decide.onEvent(now, new ProbeAnswered("never-listed", Outcome.DONE, 5, ServerLoad.NONE));
        decide.onEvent(now, new PeerMessage(1, "hi"));
        decide.onEvent(now, new Members(ListUpdateKind.COMPLETE, List.of()));
        decide.onEvent(now, new Members(ListUpdateKind.COMPLETE, fleet()));
        assertFalse(all(decide.onEvent(now, request(2, "a", null, 1000, 0)), Send.class).isEmpty());
    }

    @Test
    void misuseSaysWhatToDoInstead() {
        assertThrows(IllegalArgumentException.class, () -> decide.onEvent(5, new TimerFired(1)));
        assertThrows(NullPointerException.class, () -> decide.onEvent(now, null));
        arrive(1, "a", null, 10, 0);
        assertThrows(
                IllegalArgumentException.class,
                () -> decide.onEvent(now, request(1, "a", null, 10, 0)));
        RoutingSettings p = plain();
        RoutingSettings noKinds =
                new RoutingSettings(
                        2,
                        0,
                        0,
                        false,
                        1,
                        LoadReportMode.NONE,
                        p.classes(),
                        List.of(),
                        List.of(),
                        p.capabilities(),
                        p.serverLimits());
        assertEquals(
                "setting missing or inconsistent: kinds",
                assertThrows(IllegalArgumentException.class, () -> new RoutingPolicy(noKinds, 1))
                        .getMessage());
        assertThrows(IllegalArgumentException.class, () -> new RoutingPolicy(null, 1));
    }

    @Test
    void aChangedNumberOfRoutersChangesTheParts() {
        RoutingPolicy decide = new RoutingPolicy(Fixtures.plain(), 1);
        decide.onEvent(0, new Members(ListUpdateKind.COMPLETE, Fixtures.fleet()));
        assertTrue(decide.onEvent(1, new Seated(150, 149)).isEmpty());
        assertThrows(IllegalArgumentException.class, () -> decide.onEvent(2, new Seated(0, 0)));
        assertEquals(
                1,
                Fixtures.all(decide.onEvent(3, Fixtures.request(1, "s", "p", 500, 100)), Send.class)
                        .size());
    }
}

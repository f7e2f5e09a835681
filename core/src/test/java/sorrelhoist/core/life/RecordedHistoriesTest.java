package sorrelhoist.core.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import sorrelhoist.Reason;
import sorrelhoist.Routing.*;
import sorrelhoist.core.record.Chunks;
import sorrelhoist.core.record.Compare;
import sorrelhoist.core.record.Cut;
import sorrelhoist.core.record.Entry;
import sorrelhoist.core.record.Recorder;
import sorrelhoist.core.record.Rename;
import sorrelhoist.core.record.Replay;
import sorrelhoist.core.record.Story;
import sorrelhoist.core.record.Tape;
import sorrelhoist.core.record.Unreadable;

/**
 * Histories of a router, recorded, and played again: every action must be the same, and every
 * answer explained.
 */
class RecordedHistoriesTest {
    private static byte[] file(List<byte[]> chunks) {
        byte[] out = Chunks.header();
        for (byte[] c : chunks) {
            int at = out.length;
            out = java.util.Arrays.copyOf(out, at + c.length);
            System.arraycopy(c, 0, out, at, c.length);
        }
        return out;
    }

    /** Plays one history with a recorder. {@return what it wrote} */
    private static byte[] recorded(long seed) {
        List<byte[]> chunks = new ArrayList<>();
        Recorder[] recorder = new Recorder[1];
        new Histories(
                        seed,
                        UnaryOperator.identity(),
                        s ->
                                recorder[0] =
                                        new Recorder(
                                                new Entry.Started(
                                                        "test",
                                                        s.name(),
                                                        s.incarnation(),
                                                        s.decide(),
                                                        s.seed()),
                                                chunks::add))
                .play();
        recorder[0].flush();
        return file(chunks);
    }

    @Test
    void everyActionOfThousandsOfRequestsIsTheSameAgain() throws Unreadable {
        long requests = 0;
        long actions = 0;
        for (long seed = 0; seed < 700; seed++) {
            Tape tape = Tape.of(List.of(recorded(seed)));
            assertTrue(tape.isWhole() && tape.faults().isEmpty(), "seed " + seed);
            Replay.Result r = Replay.of(tape);
            assertTrue(
                    r.same(),
                    "seed " + seed + ": " + (r.first() == null ? r.fault() : r.first().text()));
            actions += r.actions();
            requests +=
                    tape.lines().stream()
                            .filter(
                                    l ->
                                            l.entry() instanceof Entry.Told t
                                                    && t.event() instanceof Arrived)
                            .count();
        }
        assertTrue(
                requests > 4000 && actions > 20_000,
                requests + " requests, " + actions + " actions");
    }

    @Test
    void anotherSeedIsNoticedAndTheFirstDifferenceNamed() throws Unreadable {
        int found = 0;
        for (long seed = 0; seed < 50; seed++) {
            Tape tape = Tape.of(List.of(recorded(seed)));
            Entry.Started h = tape.head();
            Tape other =
                    Tape.of(
                            new Entry.Started(
                                    h.build(),
                                    h.name(),
                                    h.incarnation(),
                                    h.settings(),
                                    h.seed() + 1),
                            tape.lines().stream().map(Tape.Line::entry).toList());
            Replay.Difference d = Replay.of(other).first();
            if (d != null) {
                found++;
                assertFalse(d.recorded() == null && d.replayed() == null);
                assertTrue(d.text().startsWith("entry " + d.line().number()), d.text());
            }
        }
        assertTrue(found > 10, found + " noticed");
    }

    @Test
    void everyAnswerIsExplainedByItsStory() throws Unreadable {
        int told = 0;
        for (long seed = 0; seed < 60; seed++) {
            Tape tape = Tape.of(List.of(recorded(seed)));
            for (Tape.Line l : tape.lines()) {
                if (l.entry() instanceof Entry.Asked a && a.fromToken() == 0) {
                    List<String> story = new Story(tape).of(a.name());
                    assertTrue(story.get(0).contains("asked, as " + a.name()), story.toString());
                    boolean ended =
                            tape.lines().stream()
                                    .anyMatch(
                                            x ->
                                                    x.entry() instanceof Entry.Answered e
                                                            && e.client() == a.client());
                    assertEquals(
                            ended,
                            story.stream()
                                    .anyMatch(
                                            s ->
                                                    s.contains("answered: ")
                                                            || s.contains("left")
                                                            || s.contains("given up")),
                            story.toString());
                    assertTrue(
                            story.stream()
                                    .noneMatch(
                                            s ->
                                                    s.contains("nothing is known of why")
                                                            && s.contains("refused")),
                            story.toString());
                    told++;
                }
            }
        }
        assertTrue(told > 200, told + " stories");
    }

    @Test
    void aCutTapeStillShowsItsFailureAndLittleElse() throws Unreadable {
        for (long seed = 0; seed < 400; seed++) {
            Tape tape = Tape.of(List.of(recorded(seed)));
            if (tape.lines().size() > 60 && budgetSpent(tape)) {
                Cut cut = new Cut(tape.head(), RecordedHistoriesTest::budgetSpent, 3000);
                Tape little = cut.of(tape);
                assertTrue(budgetSpent(little));
                assertTrue(
                        little.lines().size() * 3 < tape.lines().size(),
                        little.lines().size() + " of " + tape.lines().size());
                Tape again = Tape.of(List.of(little.file()));
                assertTrue(again.isWhole());
                assertTrue(Replay.of(again).same(), "what was cut plays as it was cut");
                return;
            }
        }
        throw new AssertionError("no history in which an engine's failure ended a request");
    }

    /** A request ended because nothing harmless was left to try. */
    private static boolean budgetSpent(Tape tape) {
        return tape.lines().stream()
                .anyMatch(
                        l ->
                                l.entry() instanceof Entry.Told t
                                        && t.actions().stream()
                                                .anyMatch(
                                                        a ->
                                                                a instanceof Fail f
                                                                        && f.why().kind()
                                                                                == Reason.Kind
                                                                                        .REPEAT_UNSAFE));
    }

    @Test
    void otherSettingsShowWhatTheyWouldHaveChanged() throws Unreadable {
        int refusedNow = 0;
        for (long seed = 0; seed < 60; seed++) {
            Tape tape = Tape.of(List.of(recorded(seed)));
            Settings s = tape.head().settings();
            Compare.Report same = Compare.of(tape, s);
            assertEquals(same.requests(), same.same(), "seed " + seed);
            Limits l = s.limits();
            Settings two =
                    new Settings(
                            s.routers(),
                            s.self(),
                            s.zone(),
                            s.asksDiscovery(),
                            s.overShareWorth(),
                            s.reports(),
                            s.classes(),
                            s.tenants(),
                            s.kinds(),
                            new Limits(
                                    2,
                                    l.cancel(),
                                    l.probes(),
                                    l.backoffHints(),
                                    l.maxBackoffMicros(),
                                    l.writersRead(),
                                    l.tells(),
                                    l.probePrice(),
                                    l.tellPrice()),
                            s.rules());
            Compare.Report fewer = Compare.of(tape, two);
            int changed = fewer.nowRefused().values().stream().mapToInt(n -> n).sum();
            assertEquals(
                    fewer.requests() - fewer.same(),
                    changed
                            + fewer.elsewhere()
                            + fewer.nowSent().values().stream().mapToInt(n -> n).sum());
            refusedNow += changed;
        }
        assertTrue(refusedNow > 20, "two attempts in place of five end " + refusedNow + " more");
    }

    @Test
    void neutralNamesStayEqualWhereNamesWere() throws Unreadable {
        Tape tape = Tape.of(List.of(recorded(3)));
        Tape other = Rename.of(tape);
        assertTrue(Replay.of(other).same());
        String text = other.lines().toString() + other.head();
        for (Server server : Fleet.servers()) {
            assertFalse(text.contains("id=" + server.id() + ","), text);
        }
        assertFalse(text.contains("session=s,"), text);
        assertEquals(
                1,
                other.lines().stream()
                        .filter(
                                l ->
                                        l.entry() instanceof Entry.Told t
                                                && t.event() instanceof Arrived)
                        .map(l -> ((Arrived) ((Entry.Told) l.entry()).event()).session())
                        .distinct()
                        .count());
    }

    @Test
    void whatIsTaughtAndAChangedSeatArePlayedToo() throws Unreadable {
        List<byte[]> chunks = new ArrayList<>();
        RouterSettings s = Fleet.settings(true, true, 9);
        Recorder recorder =
                new Recorder(
                        new Entry.Started("test", s.name(), s.incarnation(), s.decide(), s.seed()),
                        chunks::add);
        Router teacher = new Router(s, o -> {});
        teacher.members(0, ListForm.COMPLETE, Fleet.servers());
        teacher.arrived(10, Fleet.call(0, 5, 0));
        Router router = new Router(s, o -> {}, recorder);
        router.members(0, ListForm.COMPLETE, Fleet.servers());
        router.learn(1000, teacher.known(1000, 100), 5000);
        router.seated(2000, 7, 3);
        for (int i = 0; i < 20; i++) {
            router.arrived(3000 + i, Fleet.call(i % 3, 5, 0));
        }
        router.advance(10_000_000);
        recorder.flush();
        Tape tape = Tape.of(List.of(file(chunks)));
        assertTrue(tape.lines().stream().anyMatch(l -> l.entry() instanceof Entry.Taught));
        assertTrue(Replay.of(tape).same());
        assertTrue(
                tape.lines().stream()
                        .anyMatch(
                                l ->
                                        l.entry() instanceof Entry.Told t
                                                && t.event().equals(new Seated(7, 3))));
    }
}

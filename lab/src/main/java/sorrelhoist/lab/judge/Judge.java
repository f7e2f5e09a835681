package sorrelhoist.lab.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Judges a day by what its clients and stand-ins saw on the wire, and by nothing that the router
 * says of itself. The five rules:
 *
 * <ol>
 *   <li>one final answer for each request taken by an edge that lives, before its client's time is
 *       up, and its tokens in order without gap;
 *   <li>no effect twice: classes that are unsafe run once, and no request has two attempts out;
 *   <li>nothing new to an engine later than the grace after the registry told that it drains or is
 *       gone;
 *   <li>no cold engine pushed over;
 *   <li>no state held with no attempt out for longer than the limit.
 * </ol>
 */
public final class Judge {
    /**
     * The rules' figures, microseconds.
     *
     * @param answerSlack by how much an answer may come after a client's time: the way back
     * @param drainGrace after which nothing new goes to an engine that drains
     * @param release within which a held state is taken or let go
     * @param wire what the wire itself may take, on a machine as busy as this one
     * @param unsafe indices of classes that may run once only
     */
    public record Limits(
            long answerSlack, long drainGrace, long release, long wire, Set<Integer> unsafe) {}

    private static final class Request {
        TraceEvent sent;
        TraceEvent end;
        final List<TraceEvent> runs = new ArrayList<>();
    }

    private static final class Attempt {
        long from;
        long to = Long.MAX_VALUE;
        String engine;
        String how = "";
        long number;
    }

    private static final long WINDOW = 10_000_000;
    private static final long TOP = 600_000_000;
    private final Limits figures;
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Request> requests = new TreeMap<>();
    private final Map<String, List<TraceEvent>> kills = new HashMap<>();
    private final Map<String, List<TraceEvent>> cuts = new HashMap<>();
    private final List<long[]> deaths = new ArrayList<>();
    private long start;

    private Judge(Limits figures) {
        this.figures = figures;
    }

    /**
     * Judges a day.
     *
     * @param lines what was seen, by time
     * @param figures the rules' figures
     * @return what was found
     */
    public static Verdict judge(List<TraceEvent> lines, Limits figures) {
        return new Judge(figures).judge(lines);
    }

    private Verdict judge(List<TraceEvent> lines) {
        for (TraceEvent l : lines) {
            switch (l.event()) {
                case "sent" -> {
                    start = start == 0 ? l.t() : start;
                    request(l.text("req")).sent = l;
                }
                case "final" -> {
                    Request r = request(l.text("req"));
                    if (r.end != null) {
                        breach(1, l, "request " + l.text("req") + " has a second final answer");
                    }
                    r.end = r.end == null ? l : r.end;
                }
                case "after" ->
                        breach(
                                1,
                                l,
                                "request "
                                        + l.text("req")
                                        + " was sent more after its final answer");
                case "run" -> request(l.text("client")).runs.add(l);
                case "killed" -> {
                    kills.computeIfAbsent(l.text("target"), k -> new ArrayList<>()).add(l);
                    deaths.add(
                            new long[] {
                                l.t(),
                                lines.stream()
                                        .filter(
                                                s ->
                                                        s.event().equals("start")
                                                                && s.who().equals(l.text("target"))
                                                                && s.t() > l.t())
                                        .mapToLong(TraceEvent::t)
                                        .findFirst()
                                        .orElse(
                                                l.text("target").matches("edge.*|planner")
                                                        ? l.t()
                                                        : Long.MAX_VALUE)
                            });
                }
                case "told" -> {
                    if (l.text("command").startsWith("cut")) {
                        cuts.computeIfAbsent(l.who(), k -> new ArrayList<>()).add(l);
                    }
                }
                case "fell" -> breach(4, l, "engine " + l.who() + " was pushed over while cold");
                default -> {}
            }
        }
        requests.remove("");
        requests.values().removeIf(r -> r.sent == null);
        requests.values().forEach(this::answer);
        requests.values().forEach(this::effects);
        attempts(lines);
        drains(lines);
        return verdict();
    }

    private Request request(String id) {
        return requests.computeIfAbsent(id, i -> new Request());
    }

    private void breach(int rule, TraceEvent at, String what) {
        broken.add(String.format("rule %d at %.3f s: %s", rule, (at.t() - start) / 1e6, what));
    }

    // ---- Rule 1
    // -------------------------------------------------------------------------------------------

    private boolean excused(Request r) {
        long end = r.end == null ? Long.MAX_VALUE : r.end.t();
        return r.end != null && r.end.text("status").equals("NOT_SENT")
                || kills.getOrDefault(r.sent.text("edge"), List.of()).stream()
                        .anyMatch(k -> k.t() >= r.sent.t() - figures.wire() && k.t() <= end);
    }

    private void answer(Request r) {
        String id = r.sent.text("req");
        if (r.end == null) {
            if (!excused(r)) {
                breach(1, r.sent, "request " + id + " has no final answer");
            }
            return;
        }
        long allowed = r.sent.number("timeout") + figures.answerSlack();
        long took = r.end.t() - r.sent.t();
        boolean mute =
                r.end.text("status").equals("GAVE_UP") || r.end.text("status").equals("BROKEN");
        if (r.end.flag("cancelled") || excused(r)) {
            return;
        }
        if (mute || took > allowed) {
            breach(
                    1,
                    r.end,
                    "request "
                            + id
                            + " was not answered in time: "
                            + r.end.text("status")
                            + " after "
                            + took / 1000
                            + " ms of "
                            + allowed / 1000);
        }
        String[] words =
                r.end.text("text").isBlank() ? new String[0] : r.end.text("text").trim().split(" ");
        for (int i = 0; i < words.length; i++) {
            if (!words[i].matches("[a-z]+" + i)) {
                breach(1, r.end, "request " + id + ": token " + i + " is \"" + words[i] + "\"");
                return;
            }
        }
        if (r.end.text("status").equals("OK") && r.end.number("tokens") != words.length) {
            breach(
                    1,
                    r.end,
                    "request "
                            + id
                            + " says "
                            + r.end.number("tokens")
                            + " tokens and has "
                            + words.length);
        }
    }

    // ---- Rule 2
    // -------------------------------------------------------------------------------------------

    private void effects(Request r) {
        if (figures.unsafe().contains((int) r.sent.number("cls")) && r.runs.size() > 1) {
            breach(
                    2,
                    r.runs.get(1),
                    "request "
                            + r.sent.text("req")
                            + " of an unsafe class ran "
                            + r.runs.size()
                            + " times");
        }
    }

    // ---- Rules 2 and 5: attempts and states
    // ---------------------------------------------------------------

    private void attempts(List<TraceEvent> lines) {
        Map<String, List<Attempt>> byRequest = new HashMap<>();
        Map<String, Attempt> open = new HashMap<>();
        Map<String, TraceEvent> held = new HashMap<>();
        Map<String, TraceEvent> freed = new HashMap<>();
        for (TraceEvent l : lines) {
            switch (l.event()) {
                case "prefill", "decode" -> {
                    Attempt a = new Attempt();
                    a.from = l.t();
                    a.engine = l.who();
                    a.number = l.number("attempt");
                    byRequest.computeIfAbsent(l.text("req"), k -> new ArrayList<>()).add(a);
                    open.put(l.text("req") + "#" + l.number("attempt"), a);
                }
                case "prefill_end", "decode_end" -> {
                    Attempt a = open.remove(l.text("req") + "#" + l.number("attempt"));
                    if (a != null) {
                        a.to = l.t();
                        a.how = l.text("how");
                    }
                }
                case "killed", "start" ->
                        open.values()
                                .removeIf(
                                        a -> {
                                            boolean dead =
                                                    a.engine.equals(
                                                            l.event().equals("killed")
                                                                    ? l.text("target")
                                                                    : l.who());
                                            a.to = dead ? Math.min(a.to, l.t()) : a.to;
                                            return dead;
                                        });
                case "held" -> held.put(l.text("state"), l);
                case "freed" -> freed.put(l.text("state"), l);
                default -> {}
            }
        }
        long end = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).t();
        byRequest.forEach((req, list) -> overlaps(req, list, lines));
        held.forEach(
                (state, l) ->
                        pinned(state, l, freed.get(state), byRequest.get(l.text("req")), end));
    }

    /**
     * One attempt at a time; a cancelled or cut-off one may be on its way out while the next
     * begins.
     */
    private void overlaps(String req, List<Attempt> list, List<TraceEvent> lines) {
        for (int i = 0; i + 1 < list.size(); i++) {
            Attempt a = list.get(i);
            Attempt b = list.get(i + 1);
            boolean goingOut = a.how.equals("cancelled") && a.to - b.from <= figures.wire();
            if (a.to > b.from + figures.wire()
                    && !goingOut
                    && !unheard(a.engine, a.from, b.from + figures.wire())) {
                breach(
                        2,
                        line(b.from, lines),
                        "request "
                                + req
                                + " has two attempts out, at "
                                + a.engine
                                + " and "
                                + b.engine);
            }
        }
    }

    /** Nothing that is sent reaches an engine that is cut off. */
    private boolean unheard(String engine, long from, long to) {
        return cuts.getOrDefault(engine, List.of()).stream()
                .anyMatch(
                        c ->
                                c.t() <= to
                                        && c.t()
                                                        + 1000
                                                                * Long.parseLong(
                                                                        c.text("command")
                                                                                .replaceAll(
                                                                                        "[^0-9]",
                                                                                        ""))
                                                >= from);
    }

    private static TraceEvent line(long t, List<TraceEvent> lines) {
        return lines.stream()
                .filter(l -> l.t() >= t)
                .findFirst()
                .orElse(lines.get(lines.size() - 1));
    }

    private void pinned(
            String state, TraceEvent held, TraceEvent freed, List<Attempt> attempts, long end) {
        String engine = held.who();
        long to =
                freed != null
                        ? freed.t()
                        : kills.getOrDefault(engine, List.of()).stream()
                                .mapToLong(TraceEvent::t)
                                .filter(t -> t >= held.t())
                                .min()
                                .orElse(end);
        // What an edge that was killed had held is freed by the engine itself, some seconds later.
        boolean orphan =
                unheard(engine, held.t(), to)
                        || kills.values().stream()
                                .flatMap(List::stream)
                                .anyMatch(
                                        k ->
                                                k.text("target").startsWith("edge")
                                                        && k.t() >= held.t() - figures.wire()
                                                        && k.t() <= to);
        long free = held.t();
        long number = -1;
        for (Attempt a : attempts == null ? List.<Attempt>of() : attempts) {
            if (a.from >= held.t() && a.from <= to) {
                // A number that no stand-in saw was out to one that hears nothing: dead, or cut
                // off.
                gap(
                        state,
                        held,
                        free,
                        a.from,
                        orphan || a.number != number + 1 && deaf(free, a.from));
                free = Math.max(free, a.to == Long.MAX_VALUE ? to : a.to);
            }
            number = a.number;
        }
        gap(state, held, free, to, orphan || deaf(free, to));
    }

    /** Whether some engine could hear nothing at a time between these. */
    private boolean deaf(long from, long to) {
        return cuts.keySet().stream().anyMatch(e -> unheard(e, from, to))
                || deaths.stream().anyMatch(d -> d[0] <= to && d[1] >= from);
    }

    private void gap(String state, TraceEvent held, long from, long to, boolean orphan) {
        if (to - from > figures.release() + figures.wire() && !orphan) {
            breach(
                    5,
                    held,
                    "state "
                            + state
                            + " of request "
                            + held.text("req")
                            + " was held for "
                            + (to - from) / 1000
                            + " ms with no attempt out");
        }
    }

    // ---- Rule 3
    // -------------------------------------------------------------------------------------------

    private void drains(List<TraceEvent> lines) {
        Map<String, Long> stopped = new HashMap<>();
        Map<String, Set<String>> wrong = new HashMap<>();
        for (TraceEvent l : lines) {
            if (l.event().equals("listed")) {
                boolean serves = l.text("status").equals("UP");
                if (serves) {
                    stopped.remove(l.text("engine"));
                } else {
                    stopped.putIfAbsent(l.text("engine"), l.t());
                }
            } else if (l.event().equals("start")) {
                stopped.remove(l.who());
            } else if (l.event().equals("killed") && l.text("target").equals("planner")) {
                // A planner killed before it could pass on what it read has told nobody.
                stopped.entrySet().removeIf(e -> l.t() - e.getValue() < figures.drainGrace());
            } else if (l.event().equals("prefill") || l.event().equals("decode")) {
                Long since = stopped.get(l.who());
                if (since != null
                        && l.t() - since > figures.drainGrace() + figures.wire()
                        && wrong.computeIfAbsent(l.who(), k -> new HashSet<>())
                                .add(l.text("edge"))) {
                    breach(
                            3,
                            l,
                            "edge "
                                    + l.text("edge")
                                    + " sent to "
                                    + l.who()
                                    + " "
                                    + (l.t() - since) / 1000
                                    + " ms after the registry told that it stops");
                }
            }
        }
    }

    // ---- Figures
    // ------------------------------------------------------------------------------------------

    private Verdict verdict() {
        int[] n = new int[6];
        Histogram first = new Histogram(TOP, 3);
        Histogram perToken = new Histogram(TOP, 3);
        TreeMap<Long, Histogram> windows = new TreeMap<>();
        for (Request r : requests.values()) {
            String status = r.end == null ? "NOT_SENT" : r.end.text("status");
            boolean cancelled = r.end != null && r.end.flag("cancelled");
            n[
                    cancelled
                            ? 3
                            : excused(r) && !status.equals("OK")
                                    ? 4
                                    : status.equals("OK")
                                            ? 0
                                            : status.equals("RESOURCE_EXHAUSTED") ? 1 : 2]++;
            if (r.end != null && r.end.number("first") > 0) {
                long f = Math.min(TOP, r.end.number("first"));
                first.recordValue(f);
                windows.computeIfAbsent((r.sent.t() - start) / WINDOW, w -> new Histogram(TOP, 3))
                        .recordValue(f);
                long tokens = r.end.number("pieces");
                if (tokens > 1) {
                    perToken.recordValue(Math.min(TOP, (r.end.number("took") - f) / (tokens - 1)));
                }
            }
        }
        long worst = -1;
        for (Map.Entry<Long, Histogram> w : windows.entrySet()) {
            if (worst < 0
                    || w.getValue().getValueAtPercentile(99)
                            > windows.get(worst).getValueAtPercentile(99)) {
                worst = w.getKey();
            }
        }
        Histogram worstFirst = worst < 0 ? new Histogram(TOP, 3) : windows.get(worst);
        return new Verdict(
                broken,
                requests.size(),
                n[0],
                n[1],
                n[2],
                n[3],
                n[4],
                first,
                perToken,
                worstFirst,
                Math.max(0, worst) * WINDOW);
    }
}

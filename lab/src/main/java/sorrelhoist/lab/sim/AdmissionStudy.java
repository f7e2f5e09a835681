package sorrelhoist.lab.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.request.RequestResult;
import sorrelhoist.core.request.RequestTimeouts;
import sorrelhoist.core.request.Router;
import sorrelhoist.core.request.RouterIdentity;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.request.StreamSettings;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Studies in virtual time what becomes of bursts that the engines have room for, at fleets of
 * several sizes: after quiet, one after the other, straight after an overload, with a writer dead,
 * with a class that may not be repeated, and after a rack came back cold. A burst is 75 requests a
 * reader, all at once: about half a second of work.
 */
public final class AdmissionStudy {
    private static final long SECOND = 1_000_000;
    private static final int READERS_EACH = 2;
    private static final int BURST_A_READER = 75;
    private static final int RACK = 2; // readers, and as many writers
    private static final double USUAL =
            25; // requests a second and reader, about a quarter of what engines can do
    private static final double OVER = 300;
    private static final int OPENING = 135;
    private static final int PROMPT = 270;
    private static final int TOKENS = 24;
    private static final long HOP = 300;
    private static final long SPREAD = 20_000; // over which a burst's requests come
    private static final long TIMEOUT = 4 * SECOND;

    /** What is done to a fleet before its burst. */
    public enum Case {
        QUIET,
        THIRD_IN_A_ROW,
        AFTER_OVERLOAD,
        DEAD_WRITER,
        UNSAFE_QUARTER,
        RACK_CAME_BACK
    }

    /**
     * What became of a burst.
     *
     * @param asked requests
     * @param inTime served with the first token within the aim
     * @param late served later
     * @param lost neither, by reason
     * @param first first tokens, microseconds
     */
    public record Burst(
            int asked, int inTime, int late, Map<Reason.Kind, Integer> lost, Histogram first) {}

    private static final class Fleet {
        final StepEngine.World world = new StepEngine.World();
        final Map<String, StepEngine> engines = new HashMap<>();
        final List<Server> servers = new ArrayList<>();
        final List<Router> routers = new ArrayList<>();
        final long[] wakeAt;
        final List<Map<Long, long[]>> sentAt = new ArrayList<>();
        final Map<AttemptId, StepEngine.Write> running = new HashMap<>();
        final SplittableRandom random;
        final double unsafe;
        boolean counts;
        int asked;
        int inTime;
        int late;
        final Map<Reason.Kind, Integer> lost = new EnumMap<>(Reason.Kind.class);
        final Histogram first = new Histogram(60_000_000, 3);
        private long names;
        private long arriving;

        Fleet(int edges, double unsafe, long seed) {
            random = new SplittableRandom(seed);
            this.unsafe = unsafe;
            wakeAt = new long[edges];
            for (int i = 0; i < READERS_EACH * edges; i++) {
                engine("r" + i, 0, i / RACK);
                engine("w" + i, 1, i / RACK);
            }
            for (int e = 0; e < edges; e++) {
                int edge = e;
                sentAt.add(new HashMap<>());
                wakeAt[e] = Long.MAX_VALUE;
                Router[] made = new Router[1];
                made[0] = new Router(settings(edges, e), o -> carry(edge, o));
                routers.add(made[0]);
                made[0].endpointsUpdated(world.now, ListUpdateKind.COMPLETE, servers);
                arm(edge);
            }
        }

        private void engine(String id, int kind, int rack) {
            engines.put(id, new StepEngine(world));
            servers.add(new Server(id, 0, kind, rack, ServerState.SERVING, 1, 0));
        }

        private RouterSettings settings(int edges, int self) {
            RoutingSettings decide =
                    new RoutingSettings(
                            edges,
                            self,
                            0,
                            false,
                            1,
                            LoadReportMode.NONE,
                            List.of(
                                    new RequestClass(
                                            SECOND,
                                            40_000,
                                            1,
                                            Idempotency.SAFE,
                                            IdempotencyScope.ALL,
                                            0),
                                    new RequestClass(
                                            SECOND,
                                            40_000,
                                            1,
                                            Idempotency.UNSAFE,
                                            IdempotencyScope.ALL,
                                            0)),
                            List.of(),
                            List.of(
                                    new ServerKind(Role.READ, 150_000),
                                    new ServerKind(Role.WRITE, 150_000)),
                            new Capabilities(
                                    6, true, false, true, SECOND, false, true, 0.003, 0.003),
                            new ServerLimits(0.3, 12 * SECOND, 3, 3 * SECOND, SECOND / 2));
            return new RouterSettings(
                    new RouterIdentity("edge" + self, 1),
                    decide,
                    new RequestTimeouts(List.of(TIMEOUT, TIMEOUT), List.of(0L, 0L), 20_000),
                    StreamSettings.ofTokens(true, 10 * SECOND),
                    100_000,
                    ReleaseReach.HOLDER,
                    random.nextLong());
        }

        private void arm(int edge) {
            long next = routers.get(edge).nextTimerAt();
            if (next < wakeAt[edge]) {
                wakeAt[edge] = next;
                world.in(
                        Math.max(0, next - world.now),
                        () -> {
                            wakeAt[edge] = Long.MAX_VALUE;
                            routers.get(edge).advance(world.now);
                            arm(edge);
                        });
            }
        }

        private void later(int edge, long micros, Consumer<Router> what) {
            world.in(
                    micros,
                    () -> {
                        what.accept(routers.get(edge));
                        arm(edge);
                    });
        }

        void ask() {
            int n = random.nextInt(1 << 30);
            int edge = random.nextInt(routers.size());
            InferenceRequest call =
                    InferenceRequest.builder("", PROMPT, TOKENS)
                            .classIndex(random.nextDouble() < unsafe ? 1 : 0)
                            .session("s" + n)
                            .sharedPrefix("o" + n % 8, OPENING)
                            .timeoutMicros(TIMEOUT)
                            .build();
            asked += counts ? 1 : 0;
            arriving = counts ? world.now : -1;
            long client = routers.get(edge).requestArrived(world.now, call);
            sentAt.get(edge).putIfAbsent(client, new long[] {arriving});
            arriving = -1;
            arm(edge);
        }

        void usual(double aReader, long span) {
            long end = world.now + span;
            double rate = aReader * READERS_EACH * routers.size();
            while (world.now < end) {
                world.run(
                        world.now
                                + Math.max(
                                        1,
                                        (long)
                                                (-Math.log(1 - random.nextDouble())
                                                        / rate
                                                        * SECOND)));
                ask();
            }
        }

        void burst() {
            int count = BURST_A_READER * READERS_EACH * routers.size();
            long start = world.now;
            counts = true;
            for (int i = 0; i < count; i++) {
                world.run(start + SPREAD * i / count);
                ask();
            }
            counts = false;
            world.run(world.now + 6 * SECOND);
        }

        /** Forgets what was counted. */
        void clear() {
            asked = 0;
            inTime = 0;
            late = 0;
            lost.clear();
            first.reset();
        }

        void roster(List<Server> news) {
            routers.forEach(r -> r.endpointsUpdated(world.now, ListUpdateKind.UPDATE, news));
        }

        private void carry(int edge, Command order) {
            if (order instanceof Command.StartPrefill o) {
                StepEngine e = engines.get(o.engine());
                long have =
                        Math.min(
                                o.promptTokens(),
                                Math.max(
                                        e.texts.cachedTokens(o.request().session()),
                                        e.texts.cachedTokens(o.request().sharedPrefix())));
                String state = "x" + names++;
                world.in(
                        HOP,
                        () -> {
                            boolean taken =
                                    e.dead
                                            || e.prefill(
                                                    o.promptTokens() - have,
                                                    () -> {
                                                        e.texts.add(
                                                                o.request().sharedPrefix(),
                                                                o.request().sharedPrefixTokens());
                                                        later(
                                                                edge,
                                                                HOP,
                                                                r ->
                                                                        r.prefillCompleted(
                                                                                world.now,
                                                                                o.attempt(),
                                                                                state,
                                                                                have,
                                                                                ServerLoad.NONE));
                                                    });
                            if (!taken) {
                                later(
                                        edge,
                                        HOP,
                                        r ->
                                                r.attemptFailed(
                                                        world.now,
                                                        o.attempt(),
                                                        Outcome.FULL,
                                                        0,
                                                        ServerLoad.NONE));
                            }
                        });
            } else if (order instanceof Command.StartDecode o) {
                StepEngine e = engines.get(o.engine());
                if (e.dead) {
                    later(
                            edge,
                            HOP,
                            r ->
                                    r.attemptFailed(
                                            world.now,
                                            o.attempt(),
                                            Outcome.CONNECT_FAILED,
                                            0,
                                            ServerLoad.NONE));
                    return;
                }
                world.in(2 * HOP, () -> write(edge, e, o));
            } else if (order instanceof Command.CancelAttempt o) {
                StepEngine.Write w = running.remove(o.attempt());
                if (w != null) {
                    w.dropped = true;
                }
            } else if (order instanceof Command.DeliverToken o && o.index() == 0) {
                first(edge, o.clientId());
            } else if (order instanceof Command.FinishRequest o) {
                finish(edge, o);
            }
        }

        private void write(int edge, StepEngine e, Command.StartDecode o) {
            StepEngine.Write w =
                    e.decode(
                            TOKENS - o.firstTokenIndex(),
                            i ->
                                    later(
                                            edge,
                                            HOP,
                                            r -> {
                                                int index = o.firstTokenIndex() + i;
                                                r.tokenReceived(
                                                        world.now, o.attempt(), index, "t", null);
                                                if (index + 1 == TOKENS) {
                                                    running.remove(o.attempt());
                                                    r.tokenStreamCompleted(
                                                            world.now,
                                                            o.attempt(),
                                                            TOKENS,
                                                            0,
                                                            ServerLoad.NONE);
                                                }
                                            }));
            if (w == null) {
                later(
                        edge,
                        HOP,
                        r ->
                                r.attemptFailed(
                                        world.now, o.attempt(), Outcome.FULL, 0, ServerLoad.NONE));
            } else {
                running.put(o.attempt(), w);
            }
        }

        private void first(int edge, long client) {
            long[] sent = sentAt.get(edge).get(client);
            if (sent != null && sent[0] >= 0) {
                long took = world.now - sent[0];
                first.recordValue(Math.min(59_000_000, took));
                if (took <= SECOND) {
                    inTime++;
                } else {
                    late++;
                }
                sent[0] = -1;
            }
        }

        private void finish(int edge, Command.FinishRequest o) {
            long[] sent = sentAt.get(edge).put(o.clientId(), new long[] {-1});
            boolean counted = sent == null ? arriving >= 0 : sent[0] >= 0;
            if (counted && !(o.result() instanceof RequestResult.Served)) {
                lost.merge(o.result().reason().kind(), 1, Integer::sum);
            }
        }
    }

    private final Consumer<String> say;

    /**
     * Makes a study.
     *
     * @param say takes lines of the table
     */
    public AdmissionStudy(Consumer<String> say) {
        this.say = say;
    }

    /** Plays one burst. {@return what became of it} */
    public static Burst play(int edges, Case how, long seed) {
        Fleet f = new Fleet(edges, how == Case.UNSAFE_QUARTER ? 0.25 : 0, seed);
        f.usual(USUAL, 10 * SECOND);
        switch (how) {
            case THIRD_IN_A_ROW -> {
                f.burst();
                f.burst();
                f.clear();
            }
            case AFTER_OVERLOAD -> f.usual(OVER, 3 * SECOND);
            case DEAD_WRITER -> f.engines.get("w0").dead = true;
            case RACK_CAME_BACK -> {
                List<Server> rack = f.servers.stream().filter(s -> s.cell() == 0).toList();
                f.roster(rack.stream().map(s -> with(s, ServerState.GONE, 0)).toList());
                f.usual(USUAL, 2 * SECOND);
                f.roster(
                        rack.stream().map(s -> with(s, ServerState.SERVING, f.world.now)).toList());
                f.usual(USUAL, 2 * SECOND);
            }
            default -> f.usual(USUAL / 10, 60 * SECOND);
        }
        f.burst();
        return new Burst(f.asked, f.inTime, f.late, f.lost, f.first);
    }

    private static Server with(Server s, ServerState state, long since) {
        return new Server(s.id(), s.zone(), s.kind(), s.cell(), state, s.size(), since);
    }

    /**
     * Plays all cases.
     *
     * @param sizes numbers of edges
     * @param seeds of each
     * @param table takes the figures as CSV; null for none
     */
    public void run(int[] sizes, int seeds, Path table) throws IOException {
        List<String> rows =
                new ArrayList<>(
                        List.of(
                                "edges,case,asked,in_time,late,not_served,first_50_ms,first_99_ms"));
        say.accept(
                "edges  case              in time   late  not served  first token 50th / 99th ms  "
                        + " by reason");
        for (int edges : sizes) {
            for (Case how : Case.values()) {
                int asked = 0;
                int inTime = 0;
                int late = 0;
                Map<Reason.Kind, Integer> lost = new EnumMap<>(Reason.Kind.class);
                Histogram first = new Histogram(60_000_000, 3);
                for (long seed = 1; seed <= seeds; seed++) {
                    Burst o = play(edges, how, seed);
                    asked += o.asked();
                    inTime += o.inTime();
                    late += o.late();
                    o.lost().forEach((k, n) -> lost.merge(k, n, Integer::sum));
                    first.add(o.first());
                }
                int none = lost.values().stream().mapToInt(n -> n).sum();
                double p50 = first.getValueAtPercentile(50) / 1000.0;
                double p99 = first.getValueAtPercentile(99) / 1000.0;
                say.accept(
                        String.format(
                                Locale.ROOT,
                                "%5d  %-16s %7.1f%% %5.1f%% %9.1f%%  %12.1f / %8.1f         %s",
                                edges,
                                how,
                                100.0 * inTime / asked,
                                100.0 * late / asked,
                                100.0 * none / asked,
                                p50,
                                p99,
                                lost));
                rows.add(
                        String.format(
                                Locale.ROOT,
                                "%d,%s,%d,%d,%d,%d,%.1f,%.1f",
                                edges,
                                how,
                                asked,
                                inTime,
                                late,
                                none,
                                p50,
                                p99));
            }
        }
        if (table != null) {
            Files.write(table, rows);
        }
    }
}

package sorrelhoist.lab.load;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.protocol.grpc.ClientCall;

/**
 * Sends a day's requests when they are due, whether or not answers come back: a slow router does
 * not slow the load down, so its delay shows. All is drawn ahead from the day's seed.
 */
public final class OpenLoopLoad {
    /** An edge, for the load to send to. */
    public interface EdgeClients {
        /** {@return the client of the edge with this number, from 0} */
        InferenceClient edge(int number);
    }

    /**
     * One request, drawn ahead.
     *
     * @param at when, microseconds from the start
     * @param cls index of its load
     * @param ask the request
     * @param edge which edge it goes to
     * @param cancelsAtToken with which piece of text its client leaves, from 1, so that it leaves
     *     in mid-answer however fast the fleet is; 0 for as soon as it has asked; {@link #STAYS}
     *     for never
     */
    public record PlannedRequest(
            long at, int cls, ScriptedRequest ask, int edge, int cancelsAtToken) {
        /** Of a client that takes its whole answer. */
        public static final int STAYS = -1;
    }

    private static final String WORDS =
            "please tell me where the pallet for dock seven went and when the truck comes back so"
                + " that we can plan the loading of the next one before noon today thank you very"
                + " much indeed ";
    private static final int BYTES_PER_TOKEN = 4;

    private OpenLoopLoad() {}

    /** {@return all requests of a day, by time} */
    public static List<PlannedRequest> plan(Scenario day, int edges) {
        SplittableRandom random = new SplittableRandom(day.seed());
        List<PlannedRequest> all = new ArrayList<>();
        for (int c = 0; c < day.loads().size(); c++) {
            Scenario.Load load = day.loads().get(c);
            double most = load.rate() * 4;
            long t = 0;
            for (int n = 0; t < day.length(); n++) {
                t += (long) (-Math.log(1 - random.nextDouble()) / most * 1e6);
                if (random.nextDouble() * most < load.rate() * burst(day, t) && t < day.length()) {
                    all.add(one(day, load, c, n, t, edges, random));
                }
            }
        }
        all.sort(Comparator.comparingLong(PlannedRequest::at));
        return all;
    }

    private static double burst(Scenario day, long t) {
        double factor = 1;
        for (Scenario.ScheduledAction e : day.events()) {
            if (e.action().equals("burst") && t >= e.at() && t < e.at() + e.duration()) {
                factor = Math.min(4, factor * e.amount());
            }
        }
        return factor;
    }

    private static PlannedRequest one(
            Scenario day,
            Scenario.Load load,
            int cls,
            int n,
            long t,
            int edges,
            SplittableRandom random) {
        int session = random.nextInt(load.sessions());
        int prefix = load.prefixes() == 0 ? -1 : random.nextInt(load.prefixes());
        StringBuilder prompt = new StringBuilder();
        if (prefix >= 0) {
            fill(prompt, "guide " + load.requestClass() + " " + prefix + " ", load.prefixTokens());
        }
        int own = random.nextInt(load.promptLow(), load.promptHigh() + 1);
        fill(
                prompt,
                "session " + session + " question " + n + " ",
                own + (prefix < 0 ? 0 : load.prefixTokens()));
        int answer = random.nextInt(load.answerLow(), load.answerHigh() + 1);
        int leaves =
                random.nextDouble() < load.cancels()
                        ? random.nextInt(answer)
                        : PlannedRequest.STAYS;
        String id = "d" + day.seed() + "-" + load.requestClass() + "-" + n;
        return new PlannedRequest(
                t,
                cls,
                new ScriptedRequest(
                        id,
                        load.requestClass(),
                        load.requestClass() + "/" + session,
                        prefix < 0 ? null : load.requestClass() + "/p" + prefix,
                        load.prefixTokens(),
                        prompt.toString(),
                        answer,
                        load.timeout()),
                random.nextInt(edges),
                leaves);
    }

    private static void fill(StringBuilder text, String begin, int tokens) {
        text.append(begin);
        int at = begin.length();
        while (text.length() < tokens * BYTES_PER_TOKEN) {
            text.append(WORDS.charAt(at++ % WORDS.length()));
        }
    }

    /**
     * Sends the requests. Blocks until the last is answered or given up.
     *
     * @param plan what to send
     * @param front the edges
     * @param trace takes what the clients see
     * @param loops event loops of the clients
     */
    public static void run(
            List<PlannedRequest> plan,
            EdgeClients front,
            ClientTraceWriter trace,
            EventLoopGroup loops) {
        ScheduledExecutorService timer =
                Executors.newScheduledThreadPool(
                        2,
                        r -> {
                            Thread t = new Thread(r, "load");
                            t.setDaemon(true);
                            return t;
                        });
        AtomicInteger left = new AtomicInteger(plan.size());
        CompletableFuture<Void> all = new CompletableFuture<>();
        if (plan.isEmpty()) {
            all.complete(null);
        }
        long start = System.nanoTime();
        for (PlannedRequest p : plan) {
            long wait = TimeUnit.MICROSECONDS.toNanos(p.at()) - (System.nanoTime() - start);
            timer.schedule(
                    () -> {
                        send(p, front, trace)
                                .whenComplete(
                                        (r, e) -> {
                                            if (left.decrementAndGet() == 0) {
                                                all.complete(null);
                                            }
                                        });
                    },
                    Math.max(0, wait),
                    TimeUnit.NANOSECONDS);
        }
        all.join();
        timer.shutdownNow();
    }

    private static CompletableFuture<?> send(
            PlannedRequest p, EdgeClients front, ClientTraceWriter trace) {
        String id = p.ask().id();
        long sent = ClientTraceWriter.now();
        trace.at(
                sent,
                "sent",
                "req",
                id,
                "cls",
                p.cls(),
                "edge",
                "edge-" + (p.edge() + 1),
                "timeout",
                p.ask().timeoutMicros());
        CompletableFuture<Void> leaves = new CompletableFuture<>();
        var answer =
                front.edge(p.edge())
                        .send(
                                p.ask(),
                                (i, t) -> {
                                    if (i + 1 == p.cancelsAtToken()) {
                                        leaves.complete(null);
                                    }
                                });
        leaves.thenRun(() -> answer.cancel(false));
        if (p.cancelsAtToken() == 0) {
            leaves.complete(null);
        }
        return answer.handle(
                (r, e) -> {
                    if (r == null) {
                        trace.line("final", "req", id, "status", "CANCELLED", "cancelled", true);
                    } else {
                        String status =
                                r.end() == ClientCall.Termination.STATUS
                                        ? r.served() || !r.status().isOk()
                                                ? r.status().code().toString()
                                                : "UNFINISHED"
                                        : r.end() == ClientCall.Termination.CANCELLED
                                                ? "GAVE_UP"
                                                : r.end() == ClientCall.Termination.BROKEN
                                                        ? "BROKEN"
                                                        : "NOT_SENT";
                        trace.line(
                                "final",
                                "req",
                                id,
                                "status",
                                status,
                                "cancelled",
                                false,
                                "tokens",
                                r.declaredTokens(),
                                "pieces",
                                r.tokens(),
                                "text",
                                r.text(),
                                "first",
                                r.firstTokenMicros(),
                                "took",
                                r.durationMicros(),
                                "pushback",
                                r.retryAfterMillis(),
                                "message",
                                r.status().message());
                    }
                    return null;
                });
    }
}

package sorrelhoist;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import sorrelhoist.Routing.*;
import sorrelhoist.State.*;

/**
 * Every decision of a router, in one place. Its settings, events and actions are the records of {@link
 * Routing}.
 *
 * <p>One instance serves one router and is called by one thread. The caller owns time: {@code now} is its
 * clock in
 * microseconds and never goes back. Randomness comes from the seed alone: equal events give equal actions.
 *
 * <p>The ordinary path is the project's design (docs/design.md): a reader by exploit, explore or hash;
 * after the
 * read a writer near it by two draws. What comes after it in this file acts only when something is wrong.
 */
public final class Decide {
    // ---- Constants: the design's defaults -----------------------------------------------------------------
    /** H, microseconds: the sends that make up a reader's load L; the design's default. */
    private static final long LOAD_WINDOW = 10_000_000;
    /** W, microseconds: the requests that count as sharers of a kept key in M; the design's default. */
    private static final long SHARER_WINDOW = 20_000_000;
    /** Ratio of heaviest to lightest load beyond which exploiting traffic shifts; the design's default. */
    private static final double SHIFT_THRESHOLD = 2;
    /** Share of memory from which M counts: below it a read evicts little that anybody wants. */
    private static final double NEAR_FULL = 0.9;
    /** Microseconds after which an unused key is forgotten: a reader has then evicted it, or its session
     * ended. */
    private static final long KEY_AGE = 60_000_000;
    /** Keys kept at most, so that the table's memory is bounded whatever clients send. */
    private static final int MAX_KEYS = 50_000;
    /** What a past pair weighs in a learnt line after each new one: about 50 count. */
    private static final double FIT_DECAY = 0.98;
    /** Tokens, microseconds, microseconds a token that a line starts from; real pairs outweigh it. */
    private static final double FIRST_TOKENS = 1000;
    private static final double FIRST_BASE = 30_000;
    private static final double FIRST_SLOPE = 60;

    // ---- Constants: health and time-outs ------------------------------------------------------------------
    /** Weight of the newest outcome in a server's share of failures: two failures running pass FAILING. */
    private static final double OUTCOME_WEIGHT = 0.3;
    /** Share of failures from which a server is set aside. */
    private static final double FAILING = 0.5;
    /** Weight of the newest time in a server's slowness: a few requests decide, one odd one does not. */
    private static final double TIME_WEIGHT = 0.25;
    /** Multiple of its peers' median slowness from which a server is set aside. */
    private static final double SLOW = 2.5;
    /** Times heard before slowness is judged. */
    private static final int SLOW_SAMPLES = 3;
    /** Good single requests in a row that bring a server back: one may be a failing server's luck. */
    private static final int TRIALS = 2;
    /** Microseconds before the first single request to a server set aside; doubles up to the second
     * figure. */
    private static final long TRIAL_WAIT = 500_000;
    private static final long TRIAL_WAIT_MAX = 4_000_000;
    /** Share of a role's servers always kept as candidates: a fault common to all must not empty the set. */
    private static final double CANDIDATE_FLOOR = 0.34;
    /** Microseconds for which a server that answered full is passed over where another is there. */
    private static final long FULL_PAUSE = 200_000;
    /** An attempt may take this share of the remaining time, so that another fits if it hangs ... */
    private static final double CUT_SHARE = 0.6;
    /** ... or this multiple of its expected time if more: where work goes on after a cut, an early one
     * doubles it. */
    private static final double CUT_FACTOR = 4;
    /** Retries allowed for each arrival, and at most saved up: bounds a retry storm. */
    private static final double RETRIES_PER_ARRIVAL = 0.2;
    private static final double RETRIES_SAVED = 10;

    // ---- Constants: holding, admission, guards ------------------------------------------------------------
    /** Microseconds by which a writer may lag behind the best before it is passed over. */
    private static final double WRITER_JAM = 200_000;
    /** Microseconds between looks for a writer while a state waits. */
    private static final long HOLD_STEP = 20_000;
    /** Share of the release limit for which a state may wait, the rest is for ticks and timers. */
    private static final double HOLD_SHARE = 0.5;
    /** Share of what the cold rule would bear that is used: the mix of classes, others' sends are unseen. */
    private static final double COLD_SAFETY = 0.8;
    /** Share of the aim that a request may be expected to need: beyond it, it is refused at once. */
    private static final double DOOR = 1;
    /** The same where a class of more worth, or a tenant within its share, needs the room. */
    private static final double DOOR_FOR_LESS = 0.85;
    private static final double OVER_SHARE_DOOR = 0.35;
    /** Waiting requests that are always let in, so that a router that has heard nothing starts at all. */
    private static final int ALWAYS_IN = 4;
    /** Seconds of a tenant's share that it may save up, so that a short burst within its share passes. */
    private static final double SHARE_SAVED = 2;
    /** Microseconds between housekeeping looks. */
    private static final long TICK = 250_000;
    /** Microseconds between probes of a server, where reports come in probes alone. */
    private static final long PROBE_EVERY = 1_000_000;
    /** Microseconds before discovery is asked again after a failed call. */
    private static final long ASK_AGAIN = 1_000_000;
    /** Microseconds that clients are told to stay away for at least; a random part as long again is added. */
    private static final long BACKOFF = 300_000;
    private static final long TICK_TOKEN = 1L << 60;
    private static final long ASK_TOKEN = TICK_TOKEN + 1;

    private final Settings settings;
    private final SplittableRandom random;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final LinkedHashMap<String, Key> keys = new LinkedHashMap<>(256, 0.75f, true);
    private final List<Line> readLines = new ArrayList<>();
    private final Line firstTokens = newLine();
    private final Line answers = newLine();
    private final double[] tenantSaved;
    private final long[] tenantAt;
    private long now = Long.MIN_VALUE;
    private boolean started;
    private double retries = RETRIES_SAVED;
    private final double[] mostServed = new double[Role.values().length];
    private int waiting;
    private List<Action> out = new ArrayList<>();

    /**
     * A router's decisions, knowing nothing yet but its settings.
     *
     * @param settings what the router is told at start
     * @param seed the only source of randomness
     * @throws IllegalArgumentException naming the setting that is missing or inconsistent
     */
    public Decide(Settings settings, long seed) {
        this.settings = SettingsCheck.checked(settings);
        this.random = new SplittableRandom(seed);
        settings.kinds().forEach(k -> readLines.add(newLine()));
        tenantSaved = new double[settings.tenants().size()];
        tenantAt = new long[settings.tenants().size()];
    }

    // ---- Event dispatch -----------------------------------------------------------------------------------

    /**
     * Takes one event and says what to do about it, in order.
     *
     * @param time the router's clock, microseconds, never less than before
     * @param event what happened
     * @return the actions to carry out at once; to take no action on a request is to hold it
     */
    public List<Action> on(long time, Event event) {
        Objects.requireNonNull(event, "give an event; to pass time alone, ask for a Timer and report it");
        if (time < now) {
            throw new IllegalArgumentException("the clock went back from " + now + " to " + time
                    + ": pass one monotonic clock to every call");
        }
        now = time;
        out = new ArrayList<>();
        if (!started) {
            started = true;
            act(new Timer(TICK, TICK_TOKEN));
            if (settings.asksDiscovery()) {
                act(new Follow(true));
            }
        }
        if (event instanceof Arrived e) {
            arrived(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof StreamStarted e) {
            streamStarted(e);
        } else if (event instanceof TimerFired e) {
            timerFired(e.token());
        } else if (event instanceof Members e) {
            members(e);
        } else if (event instanceof ProbeAnswered e) {
            probeAnswered(e);
        } else if (event instanceof ClientGone e) {
            clientGone(e.id());
        }
        return out;
    }

    private static Line newLine() {
        return new Line(FIT_DECAY, FIRST_TOKENS, FIRST_BASE, FIRST_SLOPE);
    }

    private void act(Action action) {
        out.add(action);
    }

    private void timerFired(long token) {
        if (token == TICK_TOKEN) {
            tick();
        } else if (token == ASK_TOKEN) {
            act(new Follow(true));
        } else {
            Request r = requests.get(token);
            if (r != null && !r.answered && now >= r.deadline) {
                giveUp(r);
            } else if (r != null && r.waits()) {
                step(r);
            }
        }
    }

    private void tick() {
        act(new Timer(TICK, TICK_TOKEN));
        for (Role role : Role.values()) {
            List<Peer> all = serving(role, p -> true);
            long from = now - settings.rules().fallMicros();
            double served = all.stream().mapToLong(p -> p.servedSince(from)).sum();
            int i = role.ordinal();
            mostServed[i] = Math.max(mostServed[i], served / Math.max(1, all.size()));
        }
        var eldest = keys.entrySet().iterator();
        while (eldest.hasNext()) {
            Key k = eldest.next().getValue();
            if (keys.size() <= MAX_KEYS && k.used > now - KEY_AGE) {
                break;
            }
            eldest.remove();
        }
        if (settings.limits().probes() && settings.reports() == Reports.IN_PROBES) {
            for (Peer p : peers.values()) {
                if (p.serving() && p.probedAt + PROBE_EVERY <= now) {
                    p.probedAt = now;
                    act(new Probe(p.id));
                }
            }
        }
    }

    // ---- Ordinary path: the reader ------------------------------------------------------------------------

    /** Exploit the holder of lowest cost when more matches than not; else explore; an unseen key goes by
     * hash. */
    private Peer pickReader(Request r, List<Peer> readers) {
        Key session = find(r.session());
        Key prefix = find(r.prefix());
        for (Key key : new Key[] {session, prefix}) {
            List<Peer> holders = readers.stream().filter(p -> 2 * kept(key, p, r) > r.prompt()).toList();
            if (!holders.isEmpty()) {
                return unjammed(shifted(cheapest(holders, r, session, prefix), readers), r, readers);
            }
        }
        String unseen = r.prefix() != null ? r.prefix() : r.session();
        if (unseen != null && prefix == null && session == null) {
            return unjammed(byHash(unseen, readers), r, readers);
        }
        return unjammed(cheapest(readers, r, session, prefix), r, readers);
    }

    private Key find(String name) {
        return name == null ? null : keys.get(name);
    }

    /** Tokens of this prompt that the key's entry says the reader keeps. */
    private long kept(Key key, Peer p, Request r) {
        Holder h = key == null ? null : key.holders.get(p.id);
        long bound = key != null && key.name.equals(r.prefix()) ? r.arrival.prefixTokens() : r.prompt();
        return h == null ? 0 : Math.min(h.tokens, bound);
    }

    private long missed(Peer p, Request r) {
        return r.prompt() - Math.max(kept(find(r.session()), p, r), kept(find(r.prefix()), p, r));
    }

    private Peer cheapest(List<Peer> readers, Request r, Key session, Key prefix) {
        Peer best = null;
        double least = Double.MAX_VALUE;
        for (Peer p : readers) {
            long missed = r.prompt() - Math.max(kept(session, p, r), kept(prefix, p, r));
            double cost = load(p) + evictionCost(p, missed) + readTime(p, missed);
            if (cost < least) {
                least = cost;
                best = p;
            }
        }
        return best;
    }

    /** L: missed-token read time over own sends within H. */
    private double load(Peer p) {
        while (!p.sends.isEmpty() && p.sends.peek().at() < now - LOAD_WINDOW) {
            p.load -= p.sends.poll().cost();
        }
        return p.sends.isEmpty() ? p.load = 0 : p.load;
    }

    /** M: recomputation of the oldest keys that the prompt would evict, times those that share each. */
    private double evictionCost(Peer p, long missed) {
        double cost = 0;
        long freed = 0;
        if (p.memory >= NEAR_FULL) {
            for (Key k : keys.values()) {
                Holder h = k.holders.get(p.id);
                if (h != null && freed < missed) {
                    freed += h.tokens;
                    cost += readTime(p, h.tokens) * h.sharers(now - SHARER_WINDOW);
                }
            }
        }
        return cost;
    }

    private double readTime(Peer p, long tokens) {
        return readLines.get(p.kind).at(tokens);
    }

    /** Shift: exploit traffic of the heaviest reader goes to the lightest while their loads lie too far
     * apart. */
    private Peer shifted(Peer chosen, List<Peer> readers) {
        Peer lightest = chosen;
        Peer heaviest = chosen;
        for (Peer p : readers) {
            lightest = load(p) < load(lightest) ? p : lightest;
            heaviest = load(p) > load(heaviest) ? p : heaviest;
        }
        double bound = SHIFT_THRESHOLD * load(lightest) + readLines.get(chosen.kind).mean();
        return chosen == heaviest && load(chosen) > bound ? lightest : chosen;
    }

    /**
     * Exception to the ordinary choice. Acts when the chosen reader's reads now out would take this one to
     * more than
     * twice the soonest reader's end and one mean read. Guards against a jam that ten seconds of sends do
     * not show:
     * a hot beginning, a slow or hanging reader, other routers' traffic. Harm: a text is read and kept twice.
     */
    private Peer unjammed(Peer chosen, Request r, List<Peer> readers) {
        Peer soonest = chosen;
        for (Peer p : readers) {
            soonest = completion(p, r) < completion(soonest, r) ? p : soonest;
        }
        double bound = SHIFT_THRESHOLD * completion(soonest, r) + readLines.get(chosen.kind).mean();
        return completion(chosen, r) > bound ? soonest : chosen;
    }

    /** Reads out there, the time by which the oldest is overdue (others' reads are ahead of it), and this
     * one. */
    private double completion(Peer p, Request r) {
        double queue = p.waiting.values().stream().filter(a -> a.sentAt > p.provenAt)
                .mapToDouble(a -> a.cost).sum();
        return queue + overdue(p) + readTime(p, missed(p, r));
    }

    /**
     * How long the oldest of the own attempts that wait at the server has taken beyond what was expected. An
     * attempt overtaken by a later one is lost on the way, not queued, as servers serve in order: no jam.
     */
    private double overdue(Peer p) {
        return p.waiting.values().stream().filter(a -> a.sentAt > p.provenAt).findFirst()
                .map(a -> Math.max(0, now - a.sentAt - a.cost)).orElse(0.0);
    }

    /** Highest hash of key and id wins: all routers agree, and a change of the list moves only its own
     * keys. */
    private static Peer byHash(String key, List<Peer> sorted) {
        Peer best = null;
        long most = 0;
        for (Peer p : sorted) {
            long h = mix(key.hashCode() * 0x9E3779B97F4A7C15L ^ p.id.hashCode());
            if (best == null || h > most) {
                most = h;
                best = p;
            }
        }
        return best;
    }

    private static long mix(long x) {
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }

    /** A send makes the reader a likely holder of both keys; the outcome confirms or drops it. */
    private void noteHolder(Request r, Peer p, boolean holds) {
        note(r.session(), r.prompt(), p, holds);
        note(r.prefix(), r.arrival.prefixTokens(), p, holds);
    }

    private void note(String name, long tokens, Peer p, boolean holds) {
        if (name == null || tokens <= 0) {
            return;
        }
        Key key = keys.computeIfAbsent(name, Key::new);
        key.used = now;
        if (holds) {
            Holder h = key.holders.computeIfAbsent(p.id, id -> new Holder());
            h.tokens = tokens;
            h.seen.add(now);
        } else {
            key.holders.remove(p.id);
        }
    }

    // ---- Ordinary path: the writer ------------------------------------------------------------------------

    /**
     * Two draws in the reader's cell, else its zone, else all; fewer own tokens under way wins. Exception:
     * where a first token is long overdue at the winner, the writer least behind takes it. Guards against a
     * full, slow or hanging writer that tokens do not show; harm: the state crosses cells.
     */
    private Peer pickWriter(Peer reader, List<Peer> writers) {
        List<Peer> near = writers.stream().filter(p -> p.cell == reader.cell).toList();
        if (near.isEmpty()) {
            near = writers.stream().filter(p -> p.zone == reader.zone).toList();
        }
        Peer chosen = lighterOfTwo(near.isEmpty() ? writers : near);
        Peer soonest = writers.stream().min(Comparator.comparingDouble(this::overdue)).orElse(null);
        return chosen != null && overdue(chosen) > WRITER_JAM + overdue(soonest) ? soonest : chosen;
    }

    private Peer lighterOfTwo(List<Peer> from) {
        if (from.isEmpty()) {
            return null;
        }
        Peer a = from.get(random.nextInt(from.size()));
        Peer b = from.get(random.nextInt(from.size()));
        return b.tokens < a.tokens ? b : a;
    }

    /** Mixed servers take their share of the whole size, reading and answering it. */
    private boolean goesMixed(List<Peer> readers, List<Peer> writers, List<Peer> mixed) {
        double share = size(mixed);
        double all = share + size(readers) + size(writers);
        boolean needed = readers.isEmpty() || writers.isEmpty();
        return !mixed.isEmpty() && (needed || random.nextDouble() * all < share);
    }

    private static double size(List<Peer> of) {
        return of.stream().mapToDouble(p -> p.size).sum();
    }

    // ---- Request life -------------------------------------------------------------------------------------

    private void arrived(Arrived a) {
        if (a.cls() < 0 || a.cls() >= settings.classes().size()) {
            throw new IllegalArgumentException("class " + a.cls() + " is not in the settings' classes");
        }
        if (requests.containsKey(a.id())) {
            throw new IllegalArgumentException("request " + a.id() + " is open: give each try a new id");
        }
        Request r = new Request(a, settings.classes().get(a.cls()), now);
        requests.put(a.id(), r);
        waiting++;
        retries = Math.min(RETRIES_SAVED, retries + RETRIES_PER_ARRIVAL);
        act(new Timer(Math.max(0, a.budgetMicros()), a.id()));
        if (refusedAtDoor(r)) {
            giveUp(r);
        } else {
            step(r);
        }
    }

    /** Takes a request with no attempt out one stage further, or gives it up at once. */
    private void step(Request r) {
        int left = settings.limits().maxAttempts() - r.sends;
        if (now >= r.deadline || left < 1) {
            giveUp(r);
        } else if (r.reader != null) {
            sendToWriter(r);
        } else {
            sendToReader(r, left);
        }
    }

    private void sendToReader(Request r, int left) {
        List<Peer> readers = left < 2 ? List.of() : candidates(Role.READ, r);
        List<Peer> writers = candidates(Role.WRITE, r);
        List<Peer> mixed = candidates(Role.BOTH, r);
        if (goesMixed(readers, writers, mixed)) {
            send(r, lighterOfTwo(mixed), false);
        } else if (!readers.isEmpty()) {
            Peer trial = dueTrial(Role.READ, r);
            send(r, trial != null ? trial : pickReader(r, readers), true);
        } else if (settings.limits().writersRead() && !writers.isEmpty()) {
            // No reader can be used: a writer that reads is slow and slows others, but answers.
            send(r, lighterOfTwo(writers), false);
        } else {
            giveUp(r);
        }
    }

    private void sendToWriter(Request r) {
        List<Peer> writers = new ArrayList<>(candidates(Role.WRITE, r));
        if (writers.isEmpty()) {
            writers.addAll(candidates(Role.BOTH, r));
        }
        Peer trial = dueTrial(Role.WRITE, r);
        Peer writer = trial != null ? trial : pickWriter(r.reader, writers);
        if (writer != null) {
            send(r, writer, false);
        } else if (now + HOLD_STEP < r.idleSince + HOLD_SHARE * settings.rules().releaseMicros()) {
            act(new Timer(HOLD_STEP, r.id));
        } else {
            giveUp(r);
        }
    }

    private void send(Request r, Peer p, boolean read) {
        long missed = missed(p, r);
        Attempt a = new Attempt(r.sends++, p, read, missed, now);
        r.attempt = a;
        double patience = CUT_FACTOR * (read ? readTime(p, missed) : firstTokens.at(r.prompt()));
        long cut = Math.min(r.deadline, now + (long) Math.max(CUT_SHARE * (r.deadline - now), patience));
        p.out++;
        if (read) {
            a.cost = readTime(p, missed);
            p.sends.add(new Sent(now, a.cost));
            p.load += a.cost;
            noteHolder(r, p, true);
        } else {
            a.cost = firstTokens.at(r.prompt());
            p.sends.add(new Sent(now, 0));
            p.tokens += a.tokens = r.prompt() + r.arrival.maxTokens();
        }
        p.waiting.put(r.id, a);
        act(new Send(r.id, p.id, cut));
    }

    private void streamStarted(StreamStarted e) {
        Request r = requests.get(e.id());
        if (r == null || r.attempt == null || r.attempt.number != e.attempt()) {
            return;
        }
        r.streaming = true;
        Attempt a = r.attempt;
        firstTokens.learn(r.prompt(), e.tookMicros());
        heard(a.peer, true, e.tookMicros() / firstTokens.at(r.prompt()));
        settle(r);
        a.peer.prove(a, now);
        a.peer.waiting.remove(r.id);
    }

    private void attemptEnded(AttemptEnded e) {
        Request r = requests.get(e.id());
        if (r == null || r.attempt == null || r.attempt.number != e.attempt()) {
            return;
        }
        Attempt a = r.attempt;
        r.attempt = null;
        r.idleSince = now;
        a.peer.out--;
        a.peer.waiting.remove(r.id);
        a.peer.tokens -= a.tokens;
        a.peer.report(e.report());
        r.answered |= e.ended() || r.streaming || e.outcome() == Outcome.DONE;
        if (r.answered) {
            settle(r);
        }
        learn(r, a, e);
        if (r.answered) {
            finish(r);
        } else if (e.outcome() == Outcome.READ) {
            r.reader = a.peer;
            step(r);
        } else {
            retry(r, a, e);
        }
    }

    private void retry(Request r, Attempt a, AttemptEnded e) {
        boolean neverRan = a.read || e.outcome() == Outcome.FULL || e.outcome() == Outcome.CONNECT_FAILED
                || e.outcome() == Outcome.SKIPPED;
        if (!neverRan && r.mayHaveRunAt == null) {
            r.mayHaveRunAt = a.peer;
            r.mayHaveRunFrom = a.sentAt;
        }
        r.failed.add(a.peer);
        if (e.outcome() == Outcome.FULL && e.note() == 1) {
            r.reader = null;
            r.failed.remove(a.peer);
        }
        boolean free = e.outcome() == Outcome.CONNECT_FAILED;
        boolean over = r.mayHaveRunAt != null && r.cls.repeat() == Repeat.UNSAFE;
        if (over || !free && retries < 1) {
            giveUp(r);
            return;
        }
        retries -= free ? 0 : 1;
        step(r);
    }

    private void clientGone(long id) {
        Request r = requests.get(id);
        if (r != null) {
            r.answered = true;
            settle(r);
            if (r.attempt == null) {
                finish(r);
            } else if (settings.limits().cancel() && !r.streaming) {
                act(new Cancel(id, r.attempt.number));
            }
        }
    }

    /** The final answer goes out at once, with a hint when to come back where clients hear one. */
    private void giveUp(Request r) {
        r.answered = true;
        settle(r);
        act(mayRefuse(r) ? new Refuse(r.id, backoff()) : new Fail(r.id));
        if (r.attempt == null) {
            finish(r);
        } else if (settings.limits().cancel()) {
            act(new Cancel(r.id, r.attempt.number));
        }
    }

    /** The request no longer waits for a first token. */
    private void settle(Request r) {
        waiting -= r.settled ? 0 : 1;
        r.settled = true;
    }

    /** Nothing stays pinned, however a request ended. */
    private void finish(Request r) {
        requests.remove(r.id);
        if (r.sends > 0 && !r.streaming) {
            act(new Release(r.id));
        }
    }

    // ---- Health and time-outs -----------------------------------------------------------------------------

    /** Servers of a role that may take this request now, the unhealthy only to keep the floor. */
    private List<Peer> candidates(Role role, Request r) {
        List<Peer> all = serving(role, p -> mayRepeatAt(r, p) && coldAllows(p));
        List<Peer> fit = new ArrayList<>(all.stream().filter(p -> !p.aside).toList());
        int floor = Math.max(Math.min(1, all.size()), (int) (CANDIDATE_FLOOR * all.size()));
        if (fit.size() < floor) {
            all.stream().filter(p -> p.aside).sorted(Comparator.comparingDouble(p -> p.bad))
                    .limit(floor - fit.size()).forEach(fit::add);
            fit.sort(Comparator.comparing(p -> p.id));
        }
        fit = preferring(fit, p -> !r.failed.contains(p));
        return preferring(fit, p -> p.fullUntil <= now);
    }

    private static List<Peer> preferring(List<Peer> from, Predicate<Peer> which) {
        List<Peer> some = from.stream().filter(which).toList();
        return some.isEmpty() ? from : some;
    }

    private List<Peer> serving(Role role, Predicate<Peer> which) {
        return peers.values().stream()
                .filter(p -> p.serving() && settings.kinds().get(p.kind).role() == role)
                .filter(which).toList();
    }

    /** A server set aside gets one request at a time after its wait, from a request that can afford a
     * retry. */
    private Peer dueTrial(Role role, Request r) {
        if (!r.failed.isEmpty() || role == Role.WRITE && r.cls.repeat() != Repeat.SAFE) {
            return null;
        }
        for (Peer p : serving(role, p -> p.aside && p.out == 0 && p.trialAt <= now)) {
            if (mayRepeatAt(r, p) && coldAllows(p)) {
                p.trialAt = now + p.trialWait;
                return p;
            }
        }
        return null;
    }

    private void learn(Request r, Attempt a, AttemptEnded e) {
        switch (e.outcome()) {
            case READ -> {
                long missed = Math.max(0, r.prompt() - e.note());
                Line line = readLines.get(a.peer.kind);
                double ratio = e.tookMicros() / line.at(missed);
                line.learn(missed, e.tookMicros());
                heard(a.peer, true, ratio);
                a.peer.prove(a, now);
                noteHolder(r, a.peer, true);
            }
            case DONE -> {
                answers.learn(r.arrival.maxTokens(), e.tookMicros());
                heard(a.peer, true, e.tookMicros() / answers.at(r.arrival.maxTokens()));
            }
            case FULL -> {
                if (e.note() != 1) {
                    a.peer.fullUntil = now + FULL_PAUSE;
                }
            }
            case ERROR, TIMED_OUT, RESET, CONNECT_FAILED -> {
                if (e.outcome() == Outcome.CONNECT_FAILED) {
                    a.peer.bad = 1;
                }
                heard(a.peer, false, 1);
                if (e.outcome() == Outcome.TIMED_OUT && a.sentAt > a.peer.provenAt) {
                    (a.read ? readLines.get(a.peer.kind) : firstTokens).learn(a.read ? a.missed : r.prompt(),
                            e.tookMicros());
                }
                if (a.read) {
                    noteHolder(r, a.peer, false);
                }
            }
            default -> { }
        }
    }

    /** One symptom scale for dead, failing, hanging and slow servers: share of failures, and time over
     * expected. */
    private void heard(Peer p, boolean good, double ratio) {
        p.bad += OUTCOME_WEIGHT * ((good ? 0 : 1) - p.bad);
        if (good) {
            p.heard++;
            p.slow += (p.aside ? 2 : 1) * TIME_WEIGHT * (ratio - p.slow);
        }
        boolean slow = p.heard >= SLOW_SAMPLES && p.slow > SLOW * medianSlowness(p);
        if (!p.aside && (p.bad > FAILING || slow)) {
            p.aside = true;
            p.good = 0;
            p.trialWait = TRIAL_WAIT;
            p.trialAt = now + p.trialWait;
        } else if (p.aside) {
            p.good = good && !slow ? p.good + 1 : 0;
            p.trialWait = p.good > 0 ? TRIAL_WAIT : Math.min(TRIAL_WAIT_MAX, 2 * p.trialWait);
            p.trialAt = p.good > 0 ? now : now + p.trialWait;
            if (p.good >= TRIALS) {
                p.aside = false;
                p.bad = 0;
            }
        }
    }

    private double medianSlowness(Peer of) {
        double[] all = serving(settings.kinds().get(of.kind).role(), p -> true).stream()
                .mapToDouble(p -> p.slow).sorted().toArray();
        return all.length == 0 ? 1 : Math.max(0.5, all[(all.length - 1) / 2]);
    }

    private void probeAnswered(ProbeAnswered e) {
        Peer p = peers.get(e.server());
        if (p != null) {
            p.report(e.report());
        }
    }

    // ---- The list of servers ------------------------------------------------------------------------------

    private void members(Members e) {
        if (e.form() == ListForm.UNAVAILABLE) {
            if (settings.asksDiscovery()) {
                act(new Timer(ASK_AGAIN + random.nextLong(ASK_AGAIN), ASK_TOKEN));
            }
            return;
        }
        Set<String> named = new HashSet<>();
        for (Server s : e.servers()) {
            named.add(s.id());
            Peer p = peers.computeIfAbsent(s.id(), Peer::new);
            if (s.since() > p.since) {
                forget(p);
            }
            p.take(s);
        }
        if (e.form() != ListForm.UPDATE) {
            peers.values().stream().filter(p -> !named.contains(p.id))
                    .forEach(p -> p.state = ServerState.GONE);
        }
    }

    /** A restart cleared what the server kept, and whatever ailed it. */
    private void forget(Peer p) {
        keys.values().forEach(k -> k.holders.remove(p.id));
        p.aside = false;
        p.bad = 0;
        p.slow = 1;
        p.heard = 0;
        p.memory = 0;
        p.sends.clear();
        p.load = 0;
    }

    // ---- Admission and fairness ---------------------------------------------------------------------------

    /**
     * What would come late by the queue at its best reader and the writers' first tokens is refused at once.
     * A class of less worth is held to the tightest aim of those worth more: by its own it would fill the
     * queue. The writers' lag is that of the better third: dead ones must not close the door on the living.
     */
    private boolean refusedAtDoor(Request r) {
        boolean over = overShare(r.arrival.tenant());
        double tightest = settings.classes().stream().filter(c -> c.worth() > r.cls.worth())
                .mapToDouble(RequestClass::aimMicros).min().orElse(Double.MAX_VALUE);
        boolean less = tightest < Double.MAX_VALUE;
        double door = over ? OVER_SHARE_DOOR : less ? DOOR_FOR_LESS : DOOR;
        double read = candidates(Role.READ, r).stream().mapToDouble(p -> completion(p, r)).min().orElse(0);
        double[] lags = candidates(Role.WRITE, r).stream().mapToDouble(this::overdue).sorted().toArray();
        double expected = read + firstTokens.at(r.prompt()) + (lags.length == 0 ? 0 : lags[lags.length / 3]);
        return waiting > ALWAYS_IN && expected > door * Math.min(r.aim, tightest);
    }

    /** Each router sees its part of a tenant's requests and grants that part of the share. */
    private boolean overShare(int tenant) {
        if (tenant < 0 || tenant >= tenantSaved.length) {
            return false;
        }
        double rate = settings.tenants().get(tenant).allowancePerSecond() / settings.routers();
        double gained = tenantAt[tenant] == 0 ? SHARE_SAVED * rate : rate * (now - tenantAt[tenant]) / 1e6;
        tenantAt[tenant] = now;
        tenantSaved[tenant] = Math.min(Math.max(1, SHARE_SAVED * rate), tenantSaved[tenant] + gained);
        if (tenantSaved[tenant] < 1) {
            return true;
        }
        tenantSaved[tenant]--;
        return false;
    }

    private long backoff() {
        long hint = Math.min(settings.limits().maxBackoffMicros(), BACKOFF + random.nextLong(BACKOFF));
        return settings.limits().backoffHints() ? hint : 0;
    }

    // ---- Rule guards --------------------------------------------------------------------------------------

    /** A repeat must be harmless: any server for safe classes, the group within its window for keyed ones. */
    private boolean mayRepeatAt(Request r, Peer p) {
        if (r.mayHaveRunAt == null || r.cls.repeat() == Repeat.SAFE) {
            return true;
        }
        if (r.cls.repeat() == Repeat.UNSAFE || now >= r.mayHaveRunFrom + r.cls.repeatWindowMicros()) {
            return false;
        }
        return switch (r.cls.scope()) {
            case ALL -> true;
            case ZONE -> p.zone == r.mayHaveRunAt.zone;
            case CELL -> p.cell == r.mayHaveRunAt.cell;
        };
    }

    /** A refusal says that a repeat is harmless; where that is not known, only a failure is true. */
    private static boolean mayRefuse(Request r) {
        boolean never = r.mayHaveRunAt == null && (r.attempt == null || r.attempt.read);
        return r.cls.repeat() == Repeat.SAFE || never
                || r.cls.repeat() == Repeat.KEYED && r.cls.scope() == Scope.ALL;
    }

    /**
     * A cold server's capacity is not told. A warm one can do at least the most that this router has had
     * served in a like window by its role's servers in the mean; sends would count a storm's retries, the
     * present an outage. All routers granting that part of theirs, the sum stays under the rule's multiple.
     */
    private boolean coldAllows(Peer p) {
        long age = now - p.since;
        if (p.since <= 0 || age >= settings.rules().coldMicros()) {
            return true;
        }
        Rules rules = settings.rules();
        double most = mostServed[settings.kinds().get(p.kind).role().ordinal()];
        double bearable = COLD_SAFETY * rules.fallMultiple() * rules.coldFrom() * most;
        return p.sentSince(now - rules.fallMicros()) + 1 <= Math.max(1, bearable);
    }

    // ---- What is remembered -------------------------------------------------------------------------------

    private static final class Key {
        final String name;
        final TreeMap<String, Holder> holders = new TreeMap<>();
        long used;

        Key(String name) {
            this.name = name;
        }
    }

    private static final class Holder {
        final ArrayDeque<Long> seen = new ArrayDeque<>();
        long tokens;

        int sharers(long from) {
            while (!seen.isEmpty() && seen.peek() < from) {
                seen.poll();
            }
            return seen.size();
        }
    }
}

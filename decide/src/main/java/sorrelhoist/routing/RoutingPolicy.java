package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.Routing.*;
import sorrelhoist.routing.State.*;

/**
 * Every decision of a router, in one place; its settings, events and actions are the records of
 * {@link Routing}. One instance serves one router and is called by one thread. The caller owns
 * time, microseconds; randomness comes from the seed alone: equal events give equal actions. The
 * ordinary path is the project's design (docs/design.md); what comes after it in this file acts
 * only when something is wrong.
 */
public final class RoutingPolicy {
    // ---- Constants: the ordinary path; times in microseconds ------------
    private static final long LOAD_WINDOW =
            10_000_000; // H: own sends that make up a reader's load L
    private static final long SHARER_WINDOW =
            20_000_000; // W: requests that count as sharers of a key in M
    private static final double SHIFT_THRESHOLD =
            2; // heaviest to lightest load beyond which exploits shift
    private static final int SHIFT_EVIDENCE = 3; // own sends a reader within H that a shift needs
    private static final double HOMES =
            3; // homes of a prefix, for each reader that its share would fill
    private static final double NEAR_FULL = 0.9; // share of memory from which M counts
    private static final long KEY_AGE =
            60_000_000; // an unused key is forgotten: evicted, or of the past
    private static final int MAX_KEYS =
            20_000; // bounds the table whatever clients send: 1.2 KB each
    private static final double FIT_CLIP =
            3; // a time teaches no more than this multiple of the expected
    private static final double DENSE_GAP =
            200_000; // between arrivals, so that a line turns over within H
    // ---- Constants: health and time-outs
    // ------------------------------------------------------------------
    private static final double OUTCOME_WEIGHT =
            0.3; // of the newest outcome: two failures pass FAILING
    private static final double FAILING = 0.5; // share of failures from which a server is set aside
    private static final double TIME_WEIGHT = 0.25; // of the newest time in a server's slowness
    private static final double SLOW =
            2.5; // multiple of its peers' median from which it is set aside
    private static final int SLOW_SAMPLES = 3; // times heard before slowness is judged
    private static final int TRIALS = 2; // good single requests that bring it back: one may be luck
    private static final long TRIAL_WAIT =
            200_000; // before the first single request, a router; doubles
    private static final long TRIAL_WAIT_MAX = 4_000_000;
    private static final double CANDIDATE_FLOOR =
            0.34; // of a role, always kept: the fault may be common
    private static final long FULL_PAUSE =
            200_000; // after full, for its class and tenant, or this multiple
    private static final double FULL_TIMES =
            40; // of the time it took to say so: a slow refusal is dear
    private static final double FAILURES_TOLD =
            2; // by others and not faded, beyond the peers': set aside
    private static final double CUT_SHARE =
            0.6; // of the remaining time for an attempt, so that another fits
    private static final double CUT_FACTOR =
            4; // of its expected time, if more: work may go on after a cut
    private static final double RETRIES_PER_ARRIVAL = 0.3; // bounds a retry storm
    private static final double RETRIES_SAVED = 25; // by all routers
    private static final double PROBE_SPEND = 0.0003; // points of the result spent on probes
    private static final double TELL_SPEND = 0.003; // and on messages to other routers
    private static final long TELL_LAG =
            100_000; // a lag worth telling; while it grows, each four times that
    private static final int TELL_BYTES = 256; // of one message: receivers take no more
    private static final long TAUGHT_FADE =
            600_000_000; // in which what was taught is trusted a third
    private static final double TAUGHT_BAD =
            0.4; // of failures taught at most: one own failure then decides
    private static final double TAUGHT_PAIRS =
            10; // a taught line weighs no more: fifty own ones bury it
    // ---- Constants: holding, admission, guards
    // ------------------------------------------------------------
    private static final double WRITER_JAM =
            200_000; // a writer's lag behind the best that passes it over
    private static final long HOLD_STEP = 20_000; // between looks for a writer while a state waits
    private static final double HOLD_SHARE =
            0.5; // of the release limit for that; the rest is for ticks
    private static final double DOOR =
            1; // of the aim that a request may need: beyond it, it is refused
    private static final double RESUMED_DOOR =
            0.5; // of the time left, where an answer has begun already
    private static final double DOOR_FOR_LESS = 0.85; // where a class of more worth needs the room
    private static final double OVER_SHARE_DOOR = 0.35; // where a tenant within its share does
    private static final double ALWAYS_IN =
            12; // waiting requests, over all routers, always let in to learn
    private static final double SHARE_SAVED = 2; // seconds of a tenant's share that it may save up
    private static final double SHARE_LEAST =
            4; // own requests that it may always: few come unevenly
    private static final long TICK = 250_000; // between housekeeping looks
    private static final long ASK_AGAIN = 1_000_000; // after a failed call to discovery
    private static final long BACKOFF =
            300_000; // clients stay away that long, and a random part of it more
    private static final long TICK_TOKEN = 1L << 60;
    private static final long ASK_TOKEN = TICK_TOKEN + 1;

    private RoutingSettings settings;
    private final SplittableRandom random;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final LinkedHashMap<String, Key> keys = new LinkedHashMap<>(256, 0.75f, true);
    private final Map<Role, List<Peer>> serving = new EnumMap<>(Role.class);
    private final Map<Integer, Double> spill = new TreeMap<>();
    private final Map<Integer, DecayingDelay> links = new TreeMap<>();
    private final SlowStart slowStart = new SlowStart();
    private final List<DecayedRegression> readLines = new ArrayList<>();
    private final List<DecayedRegression> paces = new ArrayList<>();
    private final DecayedRegression firstTokens = new DecayedRegression();
    private final DecayingDelay readLag = new DecayingDelay();
    private final DecayingDelay firstLag = new DecayingDelay();
    private final DecayedRegression answers = new DecayedRegression();
    private final double[] tenantSaved;
    private final long[] tenantAt;
    private long now = Long.MIN_VALUE;
    private long startedAt = -1;
    private double retries;
    private double probes;
    private double bytes;
    private final Map<String, Peer> byTag = new TreeMap<>();
    private final Map<String, GossipCodec.Item> news = new LinkedHashMap<>();
    private double gap = DENSE_GAP;
    private long arrivedAt;
    private int waiting;
    private long arrivals;
    private List<Action> out = new ArrayList<>();
    // Why the last choice fell as it did: reported with the action, never read by a decision.
    private Kind by = Kind.UNKNOWN;
    private double estimate;
    private Peer next;
    private double nextEstimate;

    /** Knows nothing yet but its settings; complains of one that is missing or inconsistent. */
    public RoutingPolicy(RoutingSettings settings, long seed) {
        this.settings = InputValidator.validSettings(settings);
        this.random = new SplittableRandom(seed);
        settings.serverKinds().forEach(k -> readLines.add(new DecayedRegression()));
        settings.serverKinds().forEach(k -> paces.add(new DecayedRegression()));
        tenantSaved = new double[settings.tenants().size()];
        tenantAt = new long[settings.tenants().size()];
        retries = RETRIES_SAVED / settings.routers();
    }

    // ---- Event dispatch
    // -----------------------------------------------------------------------------------

    /**
     * Takes one event and returns what to do at once, in order; no action on a request is to hold
     * it.
     */
    public List<Action> onEvent(long time, Event event) {
        Objects.requireNonNull(
                event, "give an event; to pass time alone, ask for a Timer and report it");
        now = InputValidator.monotonicTime(now, time);
        out = new ArrayList<>();
        if (startedAt < 0) {
            startedAt = now;
            act(new Timer(TICK, TICK_TOKEN));
            if (settings.subscribesToDiscovery()) {
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
        } else if (event instanceof ProbeAnswered e && peers.get(e.server()) != null) {
            reported(peers.get(e.server()), e.report());
        } else if (event instanceof ClientGone e) {
            clientGone(e.id());
        } else if (event instanceof PeerMessage e) {
            told(e.body());
        } else if (event instanceof Seated e) {
            settings = InputValidator.reseated(settings, e);
        }
        return out;
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
            if (r != null && !r.answered && !r.streaming && now >= r.deadline) {
                giveUp(
                        r,
                        Reason.compared(
                                Kind.DEADLINE, now - r.arrivedAt, r.deadline - r.arrivedAt));
            } else if (r != null && r.waits()) {
                step(r);
            }
        }
    }

    private void tick() {
        act(new Timer(TICK, TICK_TOKEN));
        for (Role role : serving.keySet()) {
            List<Peer> all = serving.get(role);
            // A silent one is told of while attempts are out: until they are cut, others send
            // there.
            all.stream()
                    .filter(p -> overdue(p) >= 4 * TELL_LAG && overdue(p) % (4 * TELL_LAG) < TICK)
                    .forEach(p -> tell(p, GossipCodec.DELAY, 0, (long) overdue(p) / 1000));
            slowStart.measure(role, all, settings, now, now - startedAt);
        }
        var old = keys.entrySet().iterator();
        while (old.hasNext()
                && (old.next().getValue().used <= now - KEY_AGE || keys.size() > MAX_KEYS)) {
            old.remove();
        }
        if (probes >= 1
                && settings.capabilities().probes()
                && settings.loadReportMode() == LoadReportMode.IN_PROBES) {
            peers.values().stream()
                    .filter(Peer::serving)
                    .min(Comparator.comparingLong(p -> p.probedAt))
                    .ifPresent(
                            p -> {
                                probes--;
                                p.probedAt = now;
                                act(new Probe(p.id));
                            });
        }
    }

    // ---- Ordinary path: the reader
    // ------------------------------------------------------------------------

    /**
     * Exploit the cheapest holder when more matches than not; else explore; an unseen key goes by
     * hash.
     */
    private Peer pickReader(Request r, List<Peer> readers) {
        readers.forEach(this::load);
        int sends = readers.stream().mapToInt(p -> p.sends.size()).sum();
        boolean known = sends >= SHIFT_EVIDENCE * readers.size();
        Key session = find(r.session());
        Key prefix = find(r.prefix());
        if (prefix != null && !known) {
            markHomes(prefix, r, readers);
        }
        for (Key key : new Key[] {session, prefix}) {
            List<Peer> holders = preferring(readers, p -> 2 * kept(key, p, r) > r.prompt());
            if (2 * kept(key, holders.get(0), r) > r.prompt()) {
                Peer chosen = cheapest(holders, r, session, prefix);
                by = Kind.KEPT;
                return unjammed(known ? shifted(chosen, readers) : chosen, r, readers);
            }
        }
        boolean unseen = prefix == null && session == null;
        String key = r.prefix() != null ? r.prefix() : r.tie();
        by = unseen ? Kind.UNSEEN : Kind.CHEAPEST;
        return unjammed(
                unseen ? byHash(key, readers) : cheapest(readers, r, session, prefix), r, readers);
    }

    /**
     * Exception. Acts while own sends are too few to show a reader's load. The first readers by
     * hash, as many as a prefix's share of arrivals would fill, are its likely holders; guards
     * against many routers piling on one. Harm: a text is read and kept more often.
     */
    private void markHomes(Key prefix, Request r, List<Peer> readers) {
        double due =
                Math.min(readers.size(), 1 + HOMES * prefix.uses / (arrivals + 1) * readers.size());
        if (prefix.homes < (int) due) {
            prefix.homes = (int) due;
            List<Peer> ranked = new ArrayList<>(readers);
            ranked.sort(Comparator.comparingLong(p -> -Hash.of(prefix.name, p.id)));
            ranked.subList(0, prefix.homes)
                    .forEach(p -> note(r.prefix(), r.arrival.prefixTokens(), p, true));
        }
    }

    private Key find(String name) {
        return name == null ? null : keys.get(name);
    }

    /** Tokens of this prompt that the key's entry says the reader keeps. */
    private long kept(Key key, Peer p, Request r) {
        Holder h = key == null ? null : key.holders.get(p.id);
        long bound =
                key != null && key.name.equals(r.prefix()) ? r.arrival.prefixTokens() : r.prompt();
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
            if (best == null || cost < least || cost == least && nearer(r, p, best)) {
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

    /**
     * M: recomputation of the oldest keys that the prompt would evict, times those that share each.
     */
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
        return readLines.get(p.kind).micros(tokens);
    }

    /**
     * Shift: exploits of the heaviest reader go to the lightest while their loads lie too far
     * apart.
     */
    private Peer shifted(Peer chosen, List<Peer> readers) {
        Peer lightest = Collections.min(readers, Comparator.comparingDouble(p -> p.load));
        double heaviest = readers.stream().mapToDouble(p -> p.load).max().orElse(0);
        double bound = SHIFT_THRESHOLD * lightest.load + readLines.get(chosen.kind).meanMicros();
        boolean shift = chosen.load >= heaviest && chosen.load > bound;
        by = shift ? Kind.SHIFTED : by;
        return shift ? lightest : chosen;
    }

    /**
     * Exception. Acts when what is out at the chosen reader, and its lag, end later than twice the
     * soonest reader's and one mean read. Guards against a jam that L does not show: a hot
     * beginning, a slow or hanging reader, other routers' traffic. Harm: a text is read and kept
     * twice.
     */
    private Peer unjammed(Peer chosen, Request r, List<Peer> readers) {
        readers.forEach(p -> p.behind = completion(p, r));
        List<Peer> soonest =
                readers.stream()
                        .sorted(
                                Comparator.<Peer>comparingDouble(p -> p.behind)
                                        .thenComparing((a, b) -> nearer(r, a, b) ? -1 : 1))
                        .limit(2)
                        .toList();
        double bound = chosen.behind - readLines.get(chosen.kind).meanMicros();
        boolean jammed = SHIFT_THRESHOLD * soonest.get(0).behind < bound;
        by = jammed ? Kind.UNJAMMED : by;
        Peer taken = jammed ? soonest.get(0) : chosen;
        next = soonest.stream().filter(p -> p != taken).findFirst().orElse(null);
        estimate = taken.behind;
        nextEstimate = next == null ? Double.MAX_VALUE : next.behind;
        return taken;
    }

    /**
     * Reads out there, the lag that they don't explain (others' reads are ahead of them), and this
     * one.
     */
    private double completion(Peer p, Request r) {
        return queued(p) + late(p) + readTime(p, missed(p, r));
    }

    /**
     * Exception. Acts at the door where requests are dense. The time between two reads' ends at a
     * reader is what each costs those behind it; the time from send to end holds the waiting too,
     * and summed over a queue counts it over and over. Guards against refusing bursts that readers
     * have room for; harm: where others' reads come in between by chance, more is let in than can
     * be read in time.
     */
    private double paced(Peer p, Request r) {
        DecayedRegression pace = paces.get(p.kind);
        double queue = late(p) + pace.micros(missed(p, r));
        for (Attempt a : p.waiting.values()) {
            queue += a.sentAt > p.provenAt ? pace.micros(a.missed) : 0;
        }
        return queue;
    }

    private static double queued(Peer p) {
        double queue = 0;
        for (Attempt a : p.waiting.values()) {
            queue += a.sentAt > p.provenAt ? a.cost : 0;
        }
        return queue;
    }

    /** The lag felt last, by any router that told of it, as it fades; or what is overdue now. */
    private double late(Peer p) {
        return Math.max(faded(p.lag), overdue(p));
    }

    private double faded(DecayingDelay felt) {
        return felt == null ? 0 : felt.at(now);
    }

    /**
     * By how much the oldest own attempt there is late; one overtaken by a later one is lost: no
     * jam.
     */
    private double overdue(Peer p) {
        return p.waiting.values().stream()
                .filter(a -> a.sentAt > p.provenAt)
                .findFirst()
                .map(a -> Math.max(0, now - a.sentAt - a.cost))
                .orElse(0.0);
    }

    /**
     * Equals are parted by the conversation's hash: by their order all routers would pile on the
     * first.
     */
    private static boolean nearer(Request r, Peer p, Peer than) {
        return Hash.of(r.tie(), p.id) > Hash.of(r.tie(), than.id);
    }

    private static Peer byHash(String key, List<Peer> sorted) {
        return Collections.max(sorted, Comparator.comparingLong(p -> Hash.of(key, p.id)));
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
            h.sharers(now - SHARER_WINDOW);
            h.seen.add(now);
        } else {
            key.holders.remove(p.id);
        }
    }

    // ---- Ordinary path: the writer
    // ------------------------------------------------------------------------

    /**
     * Two draws in the reader's cell, else its zone, else all; fewer own tokens under way wins.
     * Exception: where a first token is long overdue at the winner, the writer least behind takes
     * it. Guards against a full, slow or hanging writer that tokens do not show; harm: the state
     * crosses cells.
     */
    private Peer pickWriter(Peer reader, List<Peer> writers) {
        double link = faded(links.get(reader.cell));
        double least = Double.MAX_VALUE;
        for (Peer p : writers) {
            p.behind = late(p) + (p.cell == reader.cell ? 0 : link);
            least = Math.min(least, p.behind);
        }
        double bound = least + WRITER_JAM;
        List<Peer> calm = preferring(writers, p -> p.behind <= bound);
        List<Peer> zone = preferring(calm, p -> p.zone == reader.zone);
        boolean away =
                random.nextDouble() < spill.getOrDefault(reader.cell, 0.0) && link < WRITER_JAM;
        return lighterOfTwo(
                away
                        ? preferring(zone, p -> spill.getOrDefault(p.cell, 0.0) < 0)
                        : preferring(zone, p -> p.cell == reader.cell));
    }

    private Peer lighterOfTwo(List<Peer> from) {
        if (from.isEmpty()) {
            return null;
        }
        Peer a = from.get(random.nextInt(from.size()));
        Peer b = from.get(random.nextInt(from.size()));
        by = Kind.TWO_DRAWS;
        next = b == a ? null : b.tokens < a.tokens ? a : b;
        nextEstimate = Math.max(a.tokens, b.tokens);
        estimate = Math.min(a.tokens, b.tokens);
        return b.tokens < a.tokens ? b : a;
    }

    /** Mixed servers take their share of the whole size, reading and answering it. */
    private boolean goesMixed(List<Peer> readers, List<Peer> writers, List<Peer> mixed) {
        double draw = random.nextDouble() * (size(mixed) + size(readers) + size(writers));
        return !mixed.isEmpty() && (readers.isEmpty() || writers.isEmpty() || draw < size(mixed));
    }

    private static double size(List<Peer> of) {
        return of.stream().mapToDouble(p -> p.size).sum();
    }

    // ---- Request life
    // -------------------------------------------------------------------------------------

    private void arrived(Arrived a) {
        InputValidator.checkArrival(a, settings, requests.containsKey(a.id()));
        Request r = new Request(a, settings.classes().get(a.cls()), now);
        requests.put(a.id(), r);
        waiting++;
        arrivals++;
        gap += (1 - DecayedRegression.DECAY) * (Math.min(LOAD_WINDOW, now - arrivedAt) - gap);
        arrivedAt = now;
        if (find(a.prefix()) != null) {
            find(a.prefix()).uses++;
        }
        retries =
                Math.min(
                        Math.max(1, RETRIES_SAVED / settings.routers()),
                        retries + RETRIES_PER_ARRIVAL);
        probes =
                Math.min(
                        1,
                        probes
                                + PROBE_SPEND
                                        / Math.max(
                                                PROBE_SPEND, settings.capabilities().probeCost()));
        double part = TELL_SPEND / Math.max(TELL_SPEND, settings.capabilities().gossipCost());
        bytes = Math.min(TELL_BYTES * (double) settings.routers(), bytes + TELL_BYTES * part);
        act(new Timer(Math.max(0, a.budgetMicros()), a.id()));
        step(r);
    }

    /** Takes a request with no attempt out one stage further, or gives it up at once. */
    private void step(Request r) {
        int left = settings.capabilities().maxAttempts() - r.sends;
        if (now >= r.deadline) {
            giveUp(r, Reason.compared(Kind.DEADLINE, now - r.arrivedAt, r.deadline - r.arrivedAt));
        } else if (left < 1) {
            giveUp(
                    r,
                    Reason.compared(
                            r.full ? Kind.TOLD_FULL : Kind.ATTEMPTS, r.sends, r.sends + left));
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
        Peer reader = readers.isEmpty() ? null : pickReader(r, readers);
        Reason door = r.sends == 0 ? refusedAtDoor(r, readers, reader, writers) : null;
        if (door != null) {
            giveUp(r, door);
        } else if (goesMixed(readers, writers, mixed)) {
            Peer chosen = lighterOfTwo(mixed);
            by = Kind.MIXED;
            send(r, chosen, false);
        } else if (!readers.isEmpty()) {
            Peer trial = dueTrial(Role.READ, r);
            send(r, trial != null ? trial : reader, true);
        } else if (settings.capabilities().decodersMayPrefill() && !writers.isEmpty()) {
            // No reader can be used: a writer that reads is slow and slows others, but answers.
            Peer chosen = lighterOfTwo(writers);
            by = Kind.WRITER_READS;
            send(r, chosen, false);
        } else {
            giveUp(r, Reason.of(lacking(left < 2 ? Role.WRITE : Role.READ, r)));
        }
    }

    private void sendToWriter(Request r) {
        List<Peer> some = candidates(Role.WRITE, r);
        List<Peer> writers = some.isEmpty() ? candidates(Role.BOTH, r) : some;
        Peer trial = dueTrial(Role.WRITE, r);
        Peer writer = trial != null ? trial : pickWriter(r.reader, writers);
        if (writer != null) {
            send(r, writer, false);
        } else if (now + HOLD_STEP < heldUntil(r)) {
            act(new Timer(HOLD_STEP, r.id));
        } else {
            Kind lacks = lacking(Role.WRITE, r);
            Kind why = lacks == Kind.NO_SERVER ? Kind.HELD_TOO_LONG : lacks;
            giveUp(r, Reason.compared(why, now - r.idleSince, heldUntil(r) - r.idleSince));
        }
    }

    private double heldUntil(Request r) {
        return r.idleSince + HOLD_SHARE * settings.serverLimits().reservationLimitMicros();
    }

    /** Names what keeps a role's servers from a request for which none could be found. */
    private Kind lacking(Role role, Request r) {
        List<Peer> all = serving.getOrDefault(role, List.of());
        boolean drains =
                peers.values().stream()
                        .anyMatch(
                                p ->
                                        p.state == ServerState.DRAINING
                                                && settings.serverKinds().get(p.kind).role()
                                                        == role);
        return all.isEmpty()
                ? drains ? Kind.DRAINING : Kind.NO_SERVER
                : all.stream().anyMatch(p -> mayRepeatAt(r, p)) ? Kind.COLD : Kind.REPEAT_UNSAFE;
    }

    private void send(Request r, Peer p, boolean read) {
        long missed = missed(p, r);
        Attempt a = new Attempt(r.sends++, p, read, missed, now);
        r.attempt = a;
        a.cost = read ? readTime(p, missed) : firstTokens.micros(r.prompt());
        a.expected = a.cost + (read ? queued(p) : 0);
        double present = a.cost + faded(read ? readLag : firstLag);
        long patience = (long) Math.max(CUT_SHARE * (r.deadline - now), CUT_FACTOR * present);
        p.out++;
        p.load = load(p) + (read ? a.cost : 0);
        p.sends.add(new Sent(now, read ? a.cost : 0));
        if (read) {
            noteHolder(r, p, true);
        } else {
            p.tokens += a.tokens = r.prompt() + r.arrival.maxTokens();
        }
        p.waiting.put(r.id, a);
        double spent = now - r.arrivedAt + a.expected;
        act(
                new Send(
                        r.id,
                        p.id,
                        Math.min(r.deadline, now + patience),
                        Reason.chosen(
                                by,
                                spent,
                                r.aim,
                                estimate,
                                next == null ? null : next.id,
                                nextEstimate)));
    }

    private void streamStarted(StreamStarted e) {
        Request r = requests.get(e.id());
        if (r == null || !r.isOut(e.attempt())) {
            return;
        }
        r.streaming = true;
        Attempt a = r.attempt;
        heard(a.peer, true, fit(firstTokens, r.prompt(), e.tookMicros()));
        settle(r);
        felt(r, a, r.reader == null ? a.peer.cell : r.reader.cell, e.tookMicros());
        a.peer.waiting.remove(r.id);
    }

    private void attemptEnded(AttemptEnded e) {
        Request r = requests.get(e.id());
        if (r == null || !r.isOut(e.attempt())) {
            return;
        }
        Attempt a = r.attempt;
        r.attempt = null;
        // While a writer could not even be reached, the state that waits for it has waited on.
        r.idleSince = !a.read && e.outcome() == Outcome.CONNECT_FAILED ? r.idleSince : now;
        a.peer.out--;
        a.peer.waiting.remove(r.id);
        a.peer.tokens -= a.tokens;
        reported(a.peer, e.report());
        r.answered |= e.ended() || r.streaming || e.outcome() == Outcome.DONE;
        importKnowledge(r, a, e);
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
        boolean free = e.outcome() == Outcome.CONNECT_FAILED || e.outcome() == Outcome.FULL;
        boolean neverRan = a.read || free || e.outcome() == Outcome.SKIPPED;
        if (!neverRan && r.mayHaveRunAt == null) {
            r.mayHaveRunAt = a.peer;
            r.mayHaveRunFrom = a.sentAt;
        }
        r.failed.add(a.peer);
        if (e.outcome() == Outcome.FULL && e.note() == 1) {
            r.reader = null;
            r.failed.remove(a.peer);
        } else if (e.outcome() == Outcome.ERROR
                || e.outcome() == Outcome.RESET
                || e.outcome() == Outcome.CONNECT_FAILED && now + e.tookMicros() > heldUntil(r)) {
            // What broke off has mostly fetched the state: the next writer would read it all,
            // slowing others.
            // And a state may not wait for one more such connection. A reader has kept the text and
            // is quick;
            // harm: a state that still waits is read twice.
            r.reader = null;
        }
        r.full = e.outcome() == Outcome.FULL;
        if (r.mayHaveRunAt != null && r.cls.idempotency() == Idempotency.UNSAFE) {
            giveUp(r, Reason.of(Kind.REPEAT_UNSAFE));
        } else if (!free && retries < 1) {
            giveUp(r, Reason.compared(Kind.REPEAT_BUDGET, retries, 1));
        } else {
            retries -= free ? 0 : 1;
            step(r);
        }
    }

    private void clientGone(long id) {
        if (requests.containsKey(id)) {
            conclude(requests.get(id), Reason.of(Kind.CLIENT_GONE));
        }
    }

    /** The final answer goes out at once, with a hint when to come back where clients hear one. */
    private void giveUp(Request r, Reason why) {
        long hint =
                Math.min(
                        settings.capabilities().maxBackoffMicros(),
                        BACKOFF + random.nextLong(BACKOFF));
        act(
                mayRefuse(r)
                        ? new Refuse(r.id, settings.capabilities().backoffHints() ? hint : 0, why)
                        : new Fail(r.id, why));
        conclude(r, why);
    }

    /** Nothing more is owed to the client: what is still out for it ends, but not a stream. */
    private void conclude(Request r, Reason why) {
        r.answered = true;
        settle(r);
        if (r.attempt == null) {
            finish(r);
        } else if (settings.capabilities().cancel() && !r.streaming) {
            act(new Cancel(r.id, r.attempt.number, why));
        }
    }

    private void settle(Request r) {
        waiting -= r.settled ? 0 : 1;
        r.settled = true;
    }

    /** Nothing stays pinned, however a request ended. */
    private void finish(Request r) {
        requests.remove(r.id);
        settle(r);
        if (r.sends > 0 && !r.streaming) {
            act(new Release(r.id));
        }
    }

    // ---- Health and time-outs
    // -----------------------------------------------------------------------------

    /** Servers of a role that may take this request now, the unhealthy only to keep the floor. */
    private List<Peer> candidates(Role role, Request r) {
        List<Peer> all = serving(role, p -> mayRepeatAt(r, p) && coldAllows(p));
        List<Peer> fit = new ArrayList<>(all.stream().filter(p -> !p.aside).toList());
        int floor = Math.max(Math.min(1, all.size()), (int) (CANDIDATE_FLOOR * all.size()));
        if (fit.size() < floor) {
            all.stream()
                    .filter(p -> p.aside)
                    .sorted(Comparator.comparingDouble(p -> p.bad))
                    .limit(floor - fit.size())
                    .forEach(fit::add);
            fit.sort(Comparator.comparing(p -> p.id));
        }
        fit = preferring(fit, p -> !r.failed.contains(p));
        return preferring(fit, p -> p.fullUntil.getOrDefault(r.payer(), 0L) <= now);
    }

    private static List<Peer> preferring(List<Peer> from, Predicate<Peer> which) {
        List<Peer> some = from.stream().filter(which).toList();
        return some.isEmpty() ? from : some;
    }

    private List<Peer> serving(Role role, Predicate<Peer> which) {
        return serving.getOrDefault(role, List.of()).stream().filter(which).toList();
    }

    /**
     * A server set aside gets one request at a time after its wait, of those that can afford a
     * retry.
     */
    private Peer dueTrial(Role role, Request r) {
        if (!r.failed.isEmpty() || role == Role.WRITE && r.cls.idempotency() != Idempotency.SAFE) {
            return null;
        }
        List<Peer> due =
                serving(
                        role,
                        p ->
                                p.aside
                                        && p.out == 0
                                        && p.trialAt <= now
                                        && mayRepeatAt(r, p)
                                        && coldAllows(p));
        due.stream()
                .findFirst()
                .ifPresent(
                        p -> {
                            p.trialAt = now + p.trialWait;
                            by = Kind.TRIAL;
                            next = null;
                            estimate = nextEstimate = Double.NaN;
                        });
        return due.isEmpty() ? null : due.get(0);
    }

    private void importKnowledge(Request r, Attempt a, AttemptEnded e) {
        switch (e.outcome()) {
            case READ -> {
                long missed = Math.max(0, r.prompt() - e.note());
                heard(a.peer, true, fit(readLines.get(a.peer.kind), missed, e.tookMicros()));
                felt(r, a, a.peer.cell, e.tookMicros());
                paces.get(a.peer.kind).learn(missed, now - Math.max(a.sentAt, a.peer.readDoneAt));
                a.peer.readDoneAt = now;
                noteHolder(r, a.peer, true);
            }
            case DONE -> heard(a.peer, true, fit(answers, r.arrival.maxTokens(), e.tookMicros()));
            case FULL -> {
                if (e.note() != 1) { // for others there may be room
                    long pause = (long) Math.max(FULL_PAUSE, FULL_TIMES * e.tookMicros());
                    a.peer.fullUntil.put(r.payer(), now + pause);
                    tell(a.peer, GossipCodec.FULL, r.payer(), pause / 1000);
                }
            }
            case ERROR, TIMED_OUT, RESET, CONNECT_FAILED -> {
                boolean unreached = e.outcome() == Outcome.CONNECT_FAILED;
                a.peer.bad = unreached ? 1 : a.peer.bad;
                tell(
                        a.peer,
                        unreached ? GossipCodec.UNREACHABLE : GossipCodec.FAILED,
                        0,
                        settings.zone());
                heard(a.peer, false, 1);
                if (e.outcome() == Outcome.TIMED_OUT && a.sentAt > a.peer.provenAt) {
                    fit(
                            a.read ? readLines.get(a.peer.kind) : firstTokens,
                            a.read ? a.missed : r.prompt(),
                            e.tookMicros());
                }
                if (a.read) {
                    noteHolder(r, a.peer, false);
                }
            }
            default -> {}
        }
    }

    /**
     * One scale for dead, failing, hanging and slow servers: share of failures, time over expected.
     */
    private void heard(Peer p, boolean good, double ratio) {
        p.hearsay = false;
        p.bad += OUTCOME_WEIGHT * ((good ? 0 : 1) - p.bad);
        if (good) {
            p.heard++;
            p.slow += (p.aside ? 2 : 1) * TIME_WEIGHT * (ratio - p.slow);
        }
        long most = longestTrialWait();
        long first = Math.min(most, TRIAL_WAIT * settings.routers());
        boolean slow =
                p.heard >= SLOW_SAMPLES && p.slow > SLOW * Math.max(0.5, median(p, q -> q.slow));
        if (!p.aside && (p.bad > FAILING || slow)) {
            p.aside = true;
            p.good = 0;
            p.trialWait = first;
            p.trialAt = now + p.trialWait;
        } else if (p.aside) {
            p.good = good && !slow ? p.good + 1 : 0;
            p.trialWait = p.good > 0 ? first : Math.min(most, 2 * p.trialWait);
            p.trialAt = p.good > 0 ? now : now + p.trialWait;
            if (p.good >= TRIALS) {
                p.aside = false;
                p.bad = 0;
                tell(p, GossipCodec.RECOVERED, 0, settings.zone());
            }
        }
    }

    /**
     * All routers together try it about once a second: whoever is told when it is well again can
     * wait.
     */
    private long longestTrialWait() {
        long fleet = 4 * TRIAL_WAIT * settings.routers();
        return settings.capabilities().gossip() ? Math.max(TRIAL_WAIT_MAX, fleet) : TRIAL_WAIT_MAX;
    }

    /**
     * Where requests are dense, lines turn over soon enough to show jams. Where they are sparse,
     * they learn what servers need, clipped, and jams fade as lags in seconds, not with the next
     * fifty requests.
     */
    private double fit(DecayedRegression line, long tokens, long took) {
        double expected = line.micros(tokens);
        line.learn(tokens, dense() ? took : Math.min(took, FIT_CLIP * expected));
        return took / expected;
    }

    private boolean dense() {
        return gap < DENSE_GAP;
    }

    private double median(Peer of, ToDoubleFunction<Peer> what) {
        List<Peer> like = serving.get(settings.serverKinds().get(of.kind).role());
        double[] all = like.stream().mapToDouble(what).sorted().toArray();
        return all.length == 0 ? 1 : all[(all.length - 1) / 2];
    }

    /**
     * An answer shows how far others held it up; one whose state came from another cell tells of a
     * link.
     */
    private void felt(Request r, Attempt a, int fromCell, long took) {
        a.peer.served.add(now);
        a.peer.provenAt = Math.max(a.peer.provenAt, a.sentAt);
        boolean near = fromCell == a.peer.cell;
        if (dense() && near) {
            return;
        }
        DecayingDelay felt =
                near ? a.peer.lag : links.computeIfAbsent(fromCell, c -> new DecayingDelay());
        double delay = Math.max(0, took - a.expected);
        felt.set(delay, now);
        DecayingDelay pool = a.read ? readLag : firstLag;
        double jam = dense() ? 0 : Math.min(delay, r.aim);
        pool.approach(jam, now);
        if (near && delay >= TELL_LAG) {
            tell(a.peer, GossipCodec.DELAY, 0, (long) delay / 1000);
        }
    }

    private static void reported(Peer p, ServerLoad load) {
        p.memory = Double.isNaN(load.memoryShare()) ? p.memory : load.memoryShare();
    }

    // ---- What routers tell each other
    // ------------------------------------------------------------------

    /**
     * Where many routers each see a server seldom, bad news is shared, as far as its price per
     * receiver allows. All of it is a hint that fades; a false one costs locality, never a rule.
     */
    private void tell(Peer p, char kind, int payer, long value) {
        news.put(Hash.tag(p.id), new GossipCodec.Item(kind, payer, value));
        String body = GossipCodec.write(news);
        double price = body.length() * (settings.routers() - 1.0);
        if (settings.capabilities().gossip()
                && price > 0
                && price <= bytes
                && (kind != GossipCodec.DELAY || !dense())) {
            bytes -= price;
            act(new Tell(-1, body));
            news.clear();
        } else if (body.length() > TELL_BYTES / 2) {
            news.clear();
        }
    }

    private void told(String body) {
        int payers = State.PAYERS * settings.classes().size();
        GossipCodec.read(body)
                .forEach(
                        (tag, item) -> {
                            Peer p = byTag.get(tag);
                            // Others' failures count where own requests are sparse, while fresh and
                            // beyond what all have.
                            boolean ill =
                                    p != null
                                            && !p.aside
                                            && (item.kind() == GossipCodec.UNREACHABLE
                                                    ? item.value() == settings.zone()
                                                    : item.kind() == GossipCodec.FAILED
                                                            && !dense()
                                                            && p.ill.increment(now)
                                                                    > FAILURES_TOLD
                                                                            + SLOW
                                                                                    * median(
                                                                                            p,
                                                                                            q ->
                                                                                                    faded(
                                                                                                            q.ill)));
                            if (p != null && item.kind() == GossipCodec.DELAY) {
                                p.lag.set(item.value() * 1000.0, now);
                            } else if (ill) {
                                p.bad = 1;
                                heard(p, false, 1);
                                p.trialWait = longestTrialWait();
                                p.trialAt = now + random.nextLong(p.trialWait); // not all at once
                            } else if (p != null
                                    && p.aside
                                    && item.kind() == GossipCodec.RECOVERED
                                    && item.value() == settings.zone()) {
                                p.aside = false;
                                p.bad = Math.min(p.bad, FAILING);
                                p.ill.clear();
                            } else if (p != null
                                    && item.kind() == GossipCodec.FULL
                                    && item.classTenantKey() < payers) {
                                p.fullUntil.put(item.classTenantKey(), now + item.value() * 1000);
                            }
                        });
    }

    // ---- What a router knows, for its own next life or for another router
    // ----------------------------

    /** What own evidence has taught, the most recently used keys up to a number. */
    public Knowledge exportKnowledge(long time, int mostKeys) {
        List<Knowledge.PrefixEntry> some = new ArrayList<>();
        keys.values().stream()
                .skip(Math.max(0, keys.size() - mostKeys))
                .forEach(
                        k -> {
                            List<Knowledge.PrefixHolder> holders = new ArrayList<>();
                            k.holders.forEach(
                                    (id, h) ->
                                            holders.add(
                                                    new Knowledge.PrefixHolder(
                                                            id,
                                                            peers.containsKey(id)
                                                                    ? peers.get(id).since
                                                                    : 0,
                                                            h.tokens)));
                            some.add(
                                    new Knowledge.PrefixEntry(
                                            k.name, Math.max(0, time - k.used), k.uses, holders));
                        });
        List<Knowledge.ServerHealth> health = new ArrayList<>();
        // What was only heard of is not told on: repeated in a circle it would look like evidence.
        peers.values().stream()
                .filter(p -> !p.hearsay && (p.heard > 0 || p.bad > 0))
                .forEach(
                        p ->
                                health.add(
                                        new Knowledge.ServerHealth(
                                                p.id, p.since, p.bad, p.slow, p.heard)));
        return new Knowledge(
                some,
                health,
                readLines.stream().map(DecayedRegression::sums).toList(),
                firstTokens.sums());
    }

    /**
     * Takes what was taught, so much older now. Own evidence stays wherever there is any; what is
     * old, or of a process that was replaced, is passed over. All of it is a hint: false, it costs
     * locality or a retry, never a rule, as no server becomes a candidate by it and none is set
     * aside.
     */
    public void importKnowledge(long time, Knowledge taught, long age) {
        double trust = Math.exp(-age / (double) TAUGHT_FADE);
        for (Knowledge.PrefixEntry k : taught.keys()) {
            long used = time - age - k.ageMicros();
            boolean wanted = used > time - KEY_AGE && k.ageMicros() >= 0 && keys.size() < MAX_KEYS;
            if (wanted && !keys.containsKey(k.name())) {
                Key key = new Key(k.name());
                key.used = used;
                key.uses = Math.max(0, k.uses());
                for (Knowledge.PrefixHolder h : k.holders()) {
                    if (h.tokens() > 0 && sameProcess(h.server(), h.since())) {
                        key.holders.put(h.server(), new Holder(h.tokens()));
                    }
                }
                keys.put(k.name(), key);
            }
        }
        for (Knowledge.ServerHealth h : taught.servers()) {
            Peer p = peers.get(h.id());
            boolean own = p == null || p.heard > 0 || p.bad > 0;
            if (!own && h.sound() && sameProcess(h.id(), h.since())) {
                p.hearsay = true;
                p.bad = trust * Math.max(0, Math.min(TAUGHT_BAD, h.failureRate()));
                p.slow = 1 + trust * (Math.max(0.1, Math.min(SLOW, h.latencyRatio())) - 1);
            }
        }
        for (int i = 0; i < Math.min(readLines.size(), taught.prefillTimes().size()); i++) {
            adopt(readLines.get(i), taught.prefillTimes().get(i), trust);
        }
        adopt(firstTokens, taught.firstTokenTimes(), trust);
    }

    private boolean sameProcess(String id, long since) {
        return peers.containsKey(id) && peers.get(id).since == since;
    }

    private static void adopt(
            DecayedRegression own, Knowledge.RegressionSums taught, double trust) {
        double pairs = trust * Math.min(TAUGHT_PAIRS, taught.weight());
        if (taught.sound() && pairs > own.weight()) {
            own.adopt(taught, pairs);
        }
    }

    // ---- The list of servers
    // ------------------------------------------------------------------------------

    private void members(Members e) {
        if (e.form() == ListUpdateKind.UNAVAILABLE && settings.subscribesToDiscovery()) {
            act(new Timer(ASK_AGAIN + random.nextLong(ASK_AGAIN), ASK_TOKEN));
        }
        if (e.form() == ListUpdateKind.UNAVAILABLE) {
            return;
        }
        if (e.form() != ListUpdateKind.UPDATE) {
            peers.values().forEach(p -> p.state = ServerState.GONE);
        }
        for (Server s : e.servers()) {
            Peer p = peers.get(s.id());
            if (p == null || s.since() != p.since) {
                // A restart cleared what the server kept, and whatever ailed it.
                keys.values().forEach(k -> k.holders.remove(s.id()));
                p = new Peer(s.id());
                p.startedAt = SlowStart.startedAt(s.since(), now);
                peers.put(s.id(), p);
            }
            p.take(s);
        }
        // Those that left for good would fill the tables; one sent to lately may be back.
        peers.values()
                .removeIf(
                        p ->
                                p.state == ServerState.GONE
                                        && p.out + p.sentSince(now - KEY_AGE) == 0);
        for (Role role : Role.values()) {
            serving.put(
                    role,
                    peers.values().stream()
                            .filter(
                                    p ->
                                            p.serving()
                                                    && settings.serverKinds().get(p.kind).role()
                                                            == role)
                            .toList());
        }
        byTag.clear();
        peers.values().forEach(p -> byTag.put(Hash.tag(p.id), p));
        measureCells();
    }

    /**
     * The part of a cell's reads beyond its writers' part of their zone; below 0 where it has room.
     */
    private void measureCells() {
        spill.clear();
        for (Peer at : peers.values()) {
            if (at.serving() && !spill.containsKey(at.cell)) {
                Predicate<Peer> near = p -> p.cell == at.cell;
                List<Peer> readers = serving(Role.READ, p -> p.zone == at.zone);
                List<Peer> writers = serving(Role.WRITE, p -> p.zone == at.zone);
                double reads = size(readers.stream().filter(near).toList()) / size(readers);
                double writes = size(writers.stream().filter(near).toList()) / size(writers);
                spill.put(at.cell, reads > 0 ? 1 - writes / reads : -1);
            }
        }
    }

    // ---- Admission and fairness
    // ---------------------------------------------------------------------------

    /**
     * What would come late by its read and the writers' first tokens is refused at once. A class of
     * less worth is held to the tightest aim of those worth more: by its own it would fill the
     * queue. The writers' lag is that of the better third: dead ones must not close the door on the
     * living. Returns why it is refused, or null.
     */
    private Reason refusedAtDoor(Request r, List<Peer> readers, Peer reader, List<Peer> writers) {
        boolean over = overShare(r.arrival.tenant());
        double tightest =
                settings.classes().stream()
                        .filter(c -> c.priorityWeight() > r.cls.priorityWeight())
                        .mapToDouble(RequestClass::latencyObjectiveMicros)
                        .min()
                        .orElse(Double.MAX_VALUE);
        boolean less = tightest < Double.MAX_VALUE;
        double door = over ? OVER_SHARE_DOOR : less ? DOOR_FOR_LESS : DOOR;
        double soonest =
                readers.stream()
                        .mapToDouble(p -> dense() ? paced(p, r) : completion(p, r))
                        .min()
                        .orElse(0);
        double read =
                dense() || reader == null
                        ? soonest
                        : Math.max(
                                completion(reader, r),
                                readTime(reader, missed(reader, r)) + faded(readLag));
        double[] lags = writers.stream().mapToDouble(this::overdue).sorted().toArray();
        double lag = Math.max(faded(firstLag), lags.length == 0 ? 0 : lags[lags.length / 3]);
        double expected = read + firstTokens.micros(r.prompt()) + lag;
        boolean spare = waiting - random.nextDouble() <= ALWAYS_IN / settings.routers();
        // After a loss of servers many come for the rest of broken answers, with all their text to
        // read; the
        // aim alone turns most away, and what was written for them is lost. Harm: new ones wait
        // behind them.
        double limit = door * Math.min(r.aim, tightest);
        limit = r.arrival.resumed() ? Math.max(limit, RESUMED_DOOR * (r.deadline - now)) : limit;
        Kind kind = over ? Kind.DOOR_SHARE : less ? Kind.DOOR_LESS_WORTH : Kind.DOOR;
        return spare || expected <= limit
                ? null
                : Reason.door(kind, expected, limit, read, firstTokens.micros(r.prompt()), lag);
    }

    /** Each router sees its part of a tenant's requests and grants that part of the share. */
    private boolean overShare(int tenant) {
        if (tenant < 0 || tenant >= tenantSaved.length) {
            return false;
        }
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.routers();
        double most = Math.max(SHARE_LEAST, SHARE_SAVED * rate);
        double gained = tenantAt[tenant] == 0 ? most : rate * (now - tenantAt[tenant]) / 1e6;
        tenantAt[tenant] = now;
        tenantSaved[tenant] = Math.min(most, tenantSaved[tenant] + gained);
        if (tenantSaved[tenant] < 1) {
            return true;
        }
        tenantSaved[tenant]--;
        return false;
    }

    // ---- Rule guards
    // --------------------------------------------------------------------------------------

    /**
     * A repeat must be harmless: any server for safe classes, the group within its window for keyed
     * ones.
     */
    private boolean mayRepeatAt(Request r, Peer p) {
        if (r.mayHaveRunAt == null || r.cls.idempotency() == Idempotency.SAFE) {
            return true;
        }
        if (r.cls.idempotency() == Idempotency.UNSAFE
                || now >= r.mayHaveRunFrom + r.cls.idempotencyWindowMicros()) {
            return false;
        }
        return switch (r.cls.idempotencyScope()) {
            case ALL -> true;
            case ZONE -> p.zone == r.mayHaveRunAt.zone;
            case CELL -> p.cell == r.mayHaveRunAt.cell;
        };
    }

    /**
     * A refusal says that a repeat is harmless; where that is not known, only a failure is true.
     */
    private static boolean mayRefuse(Request r) {
        boolean never = r.mayHaveRunAt == null && (r.attempt == null || r.attempt.read);
        return r.cls.idempotency() == Idempotency.SAFE
                || never
                || r.cls.idempotency() == Idempotency.KEYED
                        && r.cls.idempotencyScope() == IdempotencyScope.ALL;
    }

    private boolean coldAllows(Peer p) {
        Role role = settings.serverKinds().get(p.kind).role();
        return slowStart.allows(p, role, settings, gap, serving.get(role).size(), now);
    }
}

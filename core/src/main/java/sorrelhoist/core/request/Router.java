package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.guard.Invariant;
import sorrelhoist.core.guard.InvariantMonitor;
import sorrelhoist.core.guard.SendGuard;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.reservation.Hold;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.*;
import sorrelhoist.routing.RoutingPolicy;

/**
 * The whole of one router but its sockets: requests' lives around {@link RoutingPolicy}. It is told
 * what happens, asks {@code Decide}, and gives commands to a carrier. One thread at a time; time is
 * the caller's, in microseconds.
 *
 * <p>What it owes, whatever the carrier reports and in whatever order: each client one final answer
 * and nothing after it; each {@code Send} of {@code Decide} exactly one {@code AttemptEnded}; each
 * held state or place a {@code Release} when {@code Decide} says so. {@code Decide} chooses,
 * refuses, repeats and cuts. Here is decided only what begins where it stops, at the first token:
 * how long a stream may be silent ({@link Liveness}), that it ends with its client's time, and
 * whether a broken one goes on elsewhere.
 */
public final class Router {
    private static final long REFUSED_AT_THE_TOP = 500_000; // hint where the router itself is full
    private static final int NAMES = 36;

    /**
     * A carrier may be held up for so long between its clock and its bytes: a window that ends by
     * then has ended.
     */
    private static final long HOLD_UP_MICROS = 150_000;

    /**
     * After a client's time, by which every request that has no first token was answered unless
     * something failed.
     */
    private static final long OVERDUE = 150_000;

    /** What an alarm is for. */
    private sealed interface Alarm {}

    private record DecideTimer(long token) implements Alarm {}

    private record Cut(Life life, Life.Attempt attempt) implements Alarm {}

    private record Silence(Life life, Life.Attempt attempt) implements Alarm {}

    private record Expiry(Life life) implements Alarm {}

    private record Overdue(long client) implements Alarm {}

    private record Blocked(Life life, long since) implements Alarm {}

    private final RouterSettings settings;
    private final RoutingPolicy decide;
    private final Consumer<Command> carrier;
    private final DecisionListener tap;
    private final StreamWatch watch;
    private final Reservations reservations;
    private final InvariantMonitor invariantMonitor;
    private final SendGuard sendGuard;
    private final Lives lives = new Lives();
    private final Map<String, Integer> kinds = new HashMap<>();
    private final TimerQueue<Alarm> alarms = new TimerQueue<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long now = Long.MIN_VALUE;
    private long sends;
    private long outcomes;
    private boolean draining;

    /**
     * Makes a router that knows no engine yet.
     *
     * @param settings what it is told at its start
     * @param carrier takes commands, during the calls below
     */
    public Router(RouterSettings settings, Consumer<Command> carrier) {
        this(settings, carrier, DecisionListener.NONE);
    }

    /**
     * Makes a router that knows no engine yet.
     *
     * @param settings what it is told at its start
     * @param carrier takes commands, during the calls below
     * @param tap hears what Decide is told and says
     */
    public Router(RouterSettings settings, Consumer<Command> carrier, DecisionListener tap) {
        this.tap = tap;
        this.settings = settings;
        this.carrier = carrier;
        this.decide = new RoutingPolicy(settings.routing(), settings.seed());
        this.watch = new StreamWatch(settings);
        this.reservations = new Reservations(settings, carrier);
        this.invariantMonitor =
                new InvariantMonitor(line -> carrier.accept(new Command.ReportViolation(line)));
        this.sendGuard = new SendGuard(settings.routing(), invariantMonitor);
    }

    // ---- What the carrier tells
    // ---------------------------------------------------------------------------

    /** A client asks. {@return its number here} */
    public long requestArrived(long time, InferenceRequest call) {
        at(time);
        long timeout =
                call.timeoutMicros() > 0
                        ? Math.max(0, call.timeoutMicros() - settings.deadlineMarginMicros())
                        : Long.MAX_VALUE;
        Life life = lives.open(call, now, timeout == Long.MAX_VALUE ? timeout : now + timeout);
        if (draining || lives.open() > settings.maxOpenRequests()) {
            life.step(Phase.Step.REFUSE);
            finish(
                    life,
                    new RequestResult.Refused(
                            REFUSED_AT_THE_TOP,
                            Reason.compared(
                                    Reason.Kind.ROUTER_FULL,
                                    lives.open() - 1,
                                    draining ? 0 : settings.maxOpenRequests())));
            return life.client;
        }
        if (life.endsBy < Long.MAX_VALUE) {
            alarms.schedule(life.endsBy + OVERDUE, new Overdue(life.client));
        }
        submit(life);
        drain();
        if (life.endsBy < Long.MAX_VALUE && settings.streams().endAtClientDeadline()) {
            alarms.schedule(life.endsBy, new Expiry(life));
        }
        return life.client;
    }

    /** A client left; nothing is owed to it. Unknown ones were answered a moment ago. */
    public void clientDisconnected(long time, long client) {
        at(time);
        Life life = lives.ofClient(client);
        if (life == null) {
            return;
        }
        lives.finish(life);
        answered(life, RecordEntry.Completion.LEFT, Reason.UNKNOWN);
        abandon(life, Phase.Step.CLIENT_GONE);
    }

    /** Stops what is done for a client that nothing is owed to any more. */
    private void abandon(Life life, Phase.Step step) {
        Life.Attempt running = life.phase == Phase.STREAMING ? life.out : null;
        life.step(step);
        events.add(new ClientGone(life.decideId));
        if (running != null) {
            // A stream that nobody reads ends; Decide leaves that to whoever carries it.
            drop(life, running, Outcome.CANCELLED);
        }
        drain();
    }

    /**
     * A client takes nothing of its answer for now, or takes it again. While it does not, its
     * engine is held back, and is not to blame for its silence; a client that takes nothing for too
     * long is given up.
     */
    public void clientBackpressureChanged(long time, long client, boolean blocked) {
        at(time);
        Life life = lives.ofClient(client);
        long givenUpAt = life == null ? 0 : watch.blocked(life, blocked, now);
        if (givenUpAt > 0) {
            alarms.schedule(givenUpAt, new Blocked(life, life.blockedSince));
        }
    }

    /** A read ended well. */
    public void prefillCompleted(
            long time, AttemptId id, String state, long kept, ServerLoad load) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a == null || !a.read) {
            return;
        }
        reservations.readDone(life, a, state, now);
        life.step(Phase.Step.READ_DONE);
        ended(life, a, Outcome.READ, life.finished, kept, load);
        drain();
    }

    /**
     * An attempt ended without success.
     *
     * @param time now
     * @param id which
     * @param outcome how; neither DONE nor READ
     * @param note 1 with FULL where no state was there to fetch
     * @param load the engine's report, or {@link ServerLoad#NONE}
     */
    public void attemptFailed(
            long time, AttemptId id, Outcome outcome, long note, ServerLoad load) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a != null) {
            lost(life, a, outcome, note, load);
            drain();
        }
    }

    /**
     * A token came.
     *
     * @param time now
     * @param id of which attempt
     * @param index from 0
     * @param text the token
     * @param ticket handed on with the token; dropped with a token that is not wanted
     */
    public void tokenReceived(long time, AttemptId id, int index, String text, Object ticket) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a == null || a.read) {
            return;
        }
        if (index != life.tokens || index >= life.call.maxOutputTokens()) {
            log(life, "token " + index + " where " + life.tokens + " was due");
            drop(life, a, Outcome.ERROR);
        } else {
            bytesReceived(life, a);
            life.answered.append(text);
            if (life.finished) {
                drop(life, a, Outcome.CANCELLED);
            } else {
                carrier.accept(new Command.DeliverToken(life.client, index, text, ticket));
            }
        }
        drain();
    }

    /** A writer says that its answer is whole. */
    public void tokenStreamCompleted(
            long time, AttemptId id, int tokens, long kept, ServerLoad load) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a == null || a.read) {
            return;
        }
        if (tokens != life.tokens) {
            log(life, "an answer of " + tokens + " tokens ended after " + life.tokens);
            lost(life, a, Outcome.ERROR, 0, load);
        } else {
            whole(life, a, kept, load);
        }
        drain();
    }

    /**
     * An event of an answer came that is passed on as it is ({@link StreamSettings#opaqueEvents});
     * nothing of it is kept.
     *
     * @param time now
     * @param id of which attempt
     * @param ticket the event, handed on in the order to deliver it
     * @return whether it was handed on; if not, it is still the caller's
     */
    public boolean opaqueEventReceived(long time, AttemptId id, Object ticket) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a == null || a.read) {
            return false;
        }
        bytesReceived(life, a);
        boolean wanted = !life.finished;
        if (wanted) {
            carrier.accept(new Command.DeliverToken(life.client, life.tokens - 1, "", ticket));
        } else {
            drop(life, a, Outcome.CANCELLED);
        }
        drain();
        return wanted;
    }

    /** A stream of opaque events came to its proper end. */
    public void opaqueStreamCompleted(long time, AttemptId id, long kept, ServerLoad load) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a != null && !a.read) {
            whole(life, a, kept, load);
            drain();
        }
    }

    private void bytesReceived(Life life, Life.Attempt a) {
        if (!a.started) {
            begin(life, a);
        } else {
            watch.token(a, now);
            life.step(Phase.Step.TOKEN);
        }
        a.heardAt = now;
        life.tokens++;
    }

    private void whole(Life life, Life.Attempt a, long kept, ServerLoad load) {
        life.step(Phase.Step.LAST_TOKEN);
        reservations.taken(life, now);
        ended(life, a, Outcome.DONE, true, kept, load);
        finish(life, new RequestResult.Served(life.tokens));
    }

    /** A place was held, or not. */
    public void decodeSlotAnswered(
            long time, long request, String engine, boolean held, String place) {
        at(time);
        Life life = placeable(request);
        if (life == null) {
            if (held) {
                reservations.unwantedPlace(engine, place, now);
            }
            return;
        }
        if (held) {
            reservations.place(life, engine, place, Hold.Certainty.CONFIRMED, now);
        }
        events.add(new PlaceAnswered(request, engine, held));
        drain();
    }

    /** It is not known whether a place was held; it may be. */
    public void decodeSlotUnknown(long time, long request, String engine, String place) {
        at(time);
        Life life = placeable(request);
        if (life == null) {
            reservations.unwantedPlace(engine, place, now);
        } else {
            reservations.place(life, engine, place, Hold.Certainty.POSSIBLE, now);
        }
    }

    /** {@return the request whose read is out, as long as a place is of use to it; else null} */
    private Life placeable(long request) {
        Life life = lives.ofDecide(request);
        return life == null || life.finished || life.out == null || !life.out.read ? null : life;
    }

    /**
     * An attempt's connection has to come up before its request can be written. To be told while it
     * is ordered.
     */
    public void attemptConnecting(long time, AttemptId id) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a != null) {
            a.written = false;
            reservations.connecting(life);
        }
    }

    /**
     * Whether an attempt's bytes may go to its engine now. To be asked when the connection stands,
     * right before they are made: much can have happened while it came up.
     */
    public boolean maySend(long time, AttemptId id) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a == null) {
            return invariantMonitor.check(false, Invariant.SEND_FOR_OPEN_REQUEST, now, id);
        }
        return sendGuard.allows(
                new SendGuard.Attempt(
                        life.name,
                        id.number(),
                        a.engine,
                        life.history(),
                        !life.finished,
                        life.endsBy,
                        settings.routing().classes().get(life.call.classIndex()).idempotency(),
                        life.mayHaveRunFrom != Life.NEVER,
                        a.read,
                        sendBy(life)),
                now);
    }

    /** {@return counts violations of what must always hold} */
    public InvariantMonitor invariantMonitor() {
        return invariantMonitor;
    }

    /** The last byte of an attempt was written to a connection that stands. */
    public void attemptWritten(long time, AttemptId id) {
        at(time);
        Life life = lives.ofDecide(id.requestId());
        Life.Attempt a = Lives.out(life, id);
        if (a != null) {
            a.written = true;
            reservations.written(life);
        }
    }

    /** A release ended. {@code done} where the engine answered that nothing is held any more. */
    public void releaseCompleted(long time, long release, boolean done) {
        at(time);
        reservations.releaseEnded(release, done, now);
    }

    /** Bytes came from an engine, whatever they belong to. */
    public void bytesReceived(long time, String engine) {
        at(time);
        reservations.heard(engine, now);
    }

    /** A probe ended. */
    public void probeCompleted(
            long time, String engine, Outcome outcome, long took, ServerLoad load) {
        tell(time, new ProbeAnswered(engine, outcome, took, load));
    }

    /** Another router's message came. */
    public void peerMessageReceived(long time, int from, String body) {
        tell(time, new PeerMessage(from, body));
    }

    /** The number of routers, or this one's, changed. */
    public void routerCountChanged(long time, int routers, int self) {
        tell(time, new Seated(routers, self));
    }

    /** The roster, or news of it. */
    public void endpointsUpdated(long time, ListUpdateKind form, List<Server> servers) {
        if (form == ListUpdateKind.COMPLETE) {
            kinds.clear();
        }
        for (Server s : servers) {
            if (s.state() == ServerState.GONE) {
                kinds.remove(s.id());
            } else {
                kinds.put(s.id(), s.kind());
            }
        }
        reservations.members(form, servers);
        sendGuard.listed(form, servers, Math.max(now, time));
        tell(time, new Members(form, servers));
    }

    /** {@return what its own evidence has taught, with at most so many keys} */
    public Knowledge known(long time, int mostKeys) {
        at(time);
        return decide.exportKnowledge(now, mostKeys);
    }

    /** Takes what was taught, so much older now. */
    public void importKnowledge(long time, Knowledge taught, long age) {
        at(time);
        decide.importKnowledge(now, taught, age);
        tap.onKnowledgeAdopted(now, age, taught);
    }

    /** Takes no new requests from now on: they are refused with a hint. */
    public void startDraining() {
        draining = true;
    }

    /**
     * {@return streams that run, where their clients come again for the rest of one that is moved}
     */
    public int migratableStreams() {
        return settings.streams().clientsResume()
                ? (int) lives.known().stream().filter(Router::running).count()
                : 0;
    }

    /** Moves the streams that began last: each ends without its end, and its client comes again. */
    public void migrateYoungestStreams(long time, int count) {
        at(time);
        lives.known().stream()
                .filter(Router::running)
                .sorted(Comparator.comparingInt(l -> l.tokens))
                .limit(count)
                .toList()
                .forEach(this::move);
        drain();
    }

    private static boolean running(Life life) {
        return !life.finished && life.phase == Phase.STREAMING;
    }

    /** Ends what is still open: each client is told, nothing is left held. */
    public void failAllRequests(long time, String why) {
        at(time);
        draining = true;
        for (Life life : lives.owed()) {
            finish(life, new RequestResult.Failed(why, false, Reason.UNKNOWN));
            abandon(life, Phase.Step.FAIL);
        }
    }

    /** Lets time pass. */
    public void advance(long time) {
        at(time);
        // First of all: what is held has the shortest time.
        reservations.advance(now);
        for (Alarm due = alarms.pollDue(now); due != null; due = alarms.pollDue(now)) {
            ring(due);
            drain();
        }
    }

    /** {@return when {@link #advance} is next needed; Long.MAX_VALUE for never} */
    public long nextTimerAt() {
        return Math.min(alarms.nextDueMicros(), reservations.next());
    }

    /** {@return engines on the list held} */
    public int engineCount() {
        return kinds.size();
    }

    /** {@return requests whose clients have no final answer yet} */
    public int openRequests() {
        return lives.open();
    }

    /** {@return requests that Decide still knows, with or without a client} */
    public int known() {
        return lives.known().size();
    }

    /** {@return attempts that are out} */
    public int runningAttempts() {
        return (int) lives.known().stream().filter(l -> l.out != null).count();
    }

    /**
     * {@return sends of Decide less the outcomes it was told: never other than the attempts that
     * are out}
     */
    public long sendsWithoutOutcome() {
        return sends - outcomes;
    }

    /** {@return what is held for requests that may still take it} */
    public int wantedReservations() {
        return reservations.held();
    }

    /** {@return what is held, or may be, whether or not its release is under way} */
    public int reservationCount() {
        return reservations.size();
    }

    /** {@return reservations that no engine has released in time, since the start} */
    public long expiredReleases() {
        return reservations.expired();
    }

    // ---- Time
    // ---------------------------------------------------------------------------------------------

    private void at(long time) {
        now = Math.max(now, time);
    }

    private void tell(long time, Event event) {
        at(time);
        events.add(event);
        drain();
    }

    private void ring(Alarm alarm) {
        if (alarm instanceof DecideTimer t) {
            events.add(new TimerFired(t.token()));
        } else if (alarm instanceof Cut c) {
            if (!c.attempt().ended && !c.attempt().started) {
                drop(c.life(), c.attempt(), Outcome.TIMED_OUT);
                drain();
            }
        } else if (alarm instanceof Silence s) {
            silent(s);
        } else if (alarm instanceof Expiry e) {
            expired(e.life());
        } else if (alarm instanceof Overdue o) {
            overdue(lives.ofClient(o.client()));
        } else if (alarm instanceof Blocked b && StreamWatch.stalled(b.life(), b.since())) {
            finish(
                    b.life(),
                    new RequestResult.Stalled(
                            "the client took nothing of its answer for "
                                    + settings.clientStallTimeoutMicros() / 1000
                                    + " ms"));
            abandon(b.life(), Phase.Step.CLIENT_GONE);
        }
    }

    private void silent(Silence s) {
        if (s.attempt().ended) {
            return;
        }
        long deadAt = watch.deadAt(s.life(), s.attempt());
        if (now < deadAt) {
            alarms.schedule(StreamWatch.lookAt(deadAt, now), s);
            return;
        }
        log(
                s.life(),
                "stream silent for "
                        + (now - s.attempt().heardAt)
                        + " us at "
                        + s.attempt().engine);
        drop(s.life(), s.attempt(), Outcome.TIMED_OUT);
        drain();
    }

    /**
     * Until the first token Decide holds the deadline; from then on the client's own limit ends the
     * stream.
     */
    private void expired(Life life) {
        if (!StreamWatch.expires(life)) {
            return;
        }
        Life.Attempt running = life.out;
        life.step(Phase.Step.EXPIRE);
        finish(
                life,
                new RequestResult.Failed(
                        "the answer did not end within the client's time", true, Reason.UNKNOWN));
        drop(life, running, Outcome.TIMED_OUT);
        drain();
    }

    /**
     * Decide answers each request by the end of its client's time. Should one be left over all the
     * same, because an event could not be taken, its client is still owed an answer.
     */
    private void overdue(Life life) {
        if (life != null && life.phase != Phase.STREAMING && life.tokens == 0) {
            log(life, "not answered by the end of its time");
            finish(
                    life,
                    new RequestResult.Failed(
                            "no answer within the client's time", true, Reason.UNKNOWN));
            abandon(life, Phase.Step.FAIL);
        }
    }

    // ---- Lives
    // --------------------------------------------------------------------------------------------

    /** Hands the request, or what is left of a broken one, to Decide under a number of its own. */
    private void submit(Life life) {
        InferenceRequest c = life.call;
        lives.submit(life);
        life.name =
                settings.streams().opaqueEvents()
                        ? c.clientRequestId()
                        : settings.routerName()
                                + "."
                                + Long.toString(settings.incarnation(), NAMES)
                                + "."
                                + Long.toString(life.decideId, NAMES);
        if (tap != DecisionListener.NONE) {
            tap.onRequestSubmitted(
                    new RecordEntry.RequestSubmitted(
                            now,
                            life.decideId,
                            life.client,
                            life.name,
                            c.clientRequestId(),
                            0,
                            c.timeoutMicros(),
                            life.tokens),
                    c.prompt());
        }
        long patience =
                settings.firstTokenTimeoutsMicros().get(c.classIndex())
                        + settings.firstTokenTimeoutsPer1000TokensMicros().get(c.classIndex())
                                * life.promptTokens()
                                / 1000;
        long budget = Math.max(0, Math.min(patience, life.endsBy - now));
        events.add(
                new Arrived(
                        life.decideId,
                        c.classIndex(),
                        c.tenantIndex(),
                        c.session(),
                        c.sharedPrefix(),
                        life.promptTokens(),
                        c.sharedPrefixTokens(),
                        c.maxOutputTokens() - life.tokens,
                        budget,
                        c.resumed() || life.tokens > 0));
    }

    private void begin(Life life, Life.Attempt a) {
        a.started = true;
        life.step(Phase.Step.FIRST_TOKEN);
        reservations.taken(life, now);
        events.add(new StreamStarted(life.decideId, a.id.number(), a.engine, now - a.sentAt));
        a.heardAt = now;
        alarms.schedule(StreamWatch.lookAt(watch.deadAt(life, a), now), new Silence(life, a));
    }

    /** Stops waiting for an attempt; its outcome is known here and now. */
    private void drop(Life life, Life.Attempt a, Outcome outcome) {
        carrier.accept(new Command.CancelAttempt(a.id));
        // Nothing can have run where the request was never written: its time was used up by
        // connecting.
        boolean unreached = !a.written && outcome == Outcome.TIMED_OUT;
        lost(life, a, unreached ? Outcome.CONNECT_FAILED : outcome, 0, ServerLoad.NONE);
    }

    private void lost(Life life, Life.Attempt a, Outcome outcome, long note, ServerLoad load) {
        if (a.started) {
            broke(life, a, outcome, load);
            return;
        }
        if (a.read) {
            life.step(Phase.Step.READ_LOST);
        } else if (outcome == Outcome.FULL && note == 1 || life.state == null) {
            reservations.notFetched(life, now);
            life.step(Phase.Step.STATE_LOST);
        } else {
            life.step(Phase.Step.WRITE_LOST);
        }
        ended(life, a, outcome, life.finished, note, load);
    }

    /**
     * A stream ended before its answer did. Where the deployment resumes streams and the class may
     * be repeated, it goes on from its last token as a request of its own, as a returning client's
     * would; the client's stream stays open meanwhile. Otherwise the client is told at once.
     */
    private void broke(Life life, Life.Attempt a, Outcome outcome, ServerLoad load) {
        ended(life, a, outcome, true, 0, load);
        if (life.finished) {
            return;
        }
        lives.concluded(life);
        if (!settings.streams().opaqueEvents() && life.tokens >= life.call.maxOutputTokens()) {
            life.step(Phase.Step.LAST_TOKEN);
            finish(life, new RequestResult.Served(life.tokens));
        } else if (!draining && watch.goesOn(life, now)) {
            life.resumptions++;
            life.step(Phase.Step.BREAK);
            submit(life);
        } else {
            life.step(Phase.Step.FAIL);
            finish(
                    life,
                    new RequestResult.Failed(
                            "the answer broke off: " + outcome, false, Reason.UNKNOWN));
        }
    }

    private void ended(
            Life life, Life.Attempt a, Outcome outcome, boolean over, long note, ServerLoad load) {
        boolean neverRan =
                a.read
                        || !a.written
                        || outcome == Outcome.FULL
                        || outcome == Outcome.CONNECT_FAILED;
        reservations.ended(life, a, outcome, now);
        if (!neverRan && life.mayHaveRunFrom == Life.NEVER) {
            life.mayHaveRunFrom = a.sentAt;
        }
        a.ended = true;
        life.out = null;
        outcomes++;
        events.add(
                new AttemptEnded(
                        a.id.requestId(),
                        a.id.number(),
                        a.engine,
                        outcome,
                        now - a.sentAt,
                        over,
                        note,
                        load));
    }

    private void finish(Life life, RequestResult answer) {
        if (!life.finished) {
            lives.finish(life);
            answered(
                    life,
                    answer instanceof RequestResult.Served
                            ? RecordEntry.Completion.SERVED
                            : answer instanceof RequestResult.Refused
                                    ? RecordEntry.Completion.REFUSED
                                    : answer instanceof RequestResult.Stalled
                                            ? RecordEntry.Completion.STALLED
                                            : RecordEntry.Completion.FAILED,
                    answer.reason());
            carrier.accept(new Command.FinishRequest(life.client, answer));
        }
    }

    private void answered(Life life, RecordEntry.Completion how, Reason why) {
        if (tap != DecisionListener.NONE) {
            long left = life.endsBy == Long.MAX_VALUE ? life.endsBy : life.endsBy - now;
            tap.onRequestCompleted(
                    new RecordEntry.RequestCompleted(
                            now, life.client, how, life.tokens, left, why));
        }
    }

    // ---- What Decide says
    // ---------------------------------------------------------------------------------

    /**
     * Tells Decide all that has happened and carries out its answers, in order, until nothing is
     * left. What fails in the middle is thrown at the end: it concerns one request, and the others'
     * actions are not to be lost with it.
     */
    private void drain() {
        Throwable failure = null;
        for (Event event = events.poll(); event != null; event = events.poll()) {
            try {
                List<Action> actions = decide.onEvent(now, event);
                tap.onDecision(now, event, actions);
                for (Action action : actions) {
                    failure = performed(action, failure);
                }
            } catch (RuntimeException | Error e) {
                failure = failure == null ? e : failure;
            }
        }
        lives.sweep();
        if (failure instanceof Error error) {
            throw error;
        } else if (failure instanceof RuntimeException exception) {
            throw exception;
        }
    }

    /** {@return the first failure so far, or null} */
    private Throwable performed(Action action, Throwable before) {
        try {
            perform(action);
            return before;
        } catch (RuntimeException | Error e) {
            return before == null ? e : before;
        }
    }

    private void perform(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof Refuse a) {
            answer(
                    a.id(),
                    Phase.Step.REFUSE,
                    new RequestResult.Refused(a.backoffMicros(), a.why()));
        } else if (action instanceof Fail a) {
            Life life = lives.ofDecide(a.id());
            boolean late = life != null && life.endsBy <= now;
            answer(
                    a.id(),
                    Phase.Step.FAIL,
                    new RequestResult.Failed(
                            late
                                    ? "no answer within the client's time"
                                    : "not answered, and a repeat may have an effect twice: "
                                            + ReasonFormatter.describeFailure(a.why()),
                            late,
                            a.why()));
        } else if (action instanceof Cancel a) {
            cancel(a);
        } else if (action instanceof Release a) {
            reservations.release(lives.ofDecide(a.id()), now);
        } else if (action instanceof Reserve a) {
            Life life = lives.ofDecide(a.id());
            if (life != null && !life.finished) {
                carrier.accept(
                        new Command.ReserveDecodeSlot(a.id(), life.name, a.server(), life.call));
            }
        } else if (action instanceof Move a) {
            move(lives.ofDecide(a.id()));
        } else if (action instanceof Timer a) {
            alarms.schedule(now + a.delayMicros(), new DecideTimer(a.token()));
        } else if (action instanceof Probe a) {
            carrier.accept(new Command.ProbeEngine(a.server()));
        } else if (action instanceof Tell a) {
            carrier.accept(new Command.SendPeerMessage(a.to(), a.body()));
        } else if (action instanceof Follow || action instanceof FetchList) {
            carrier.accept(new Command.FetchEndpointList());
        } else if (action instanceof CloseIdle a) {
            carrier.accept(new Command.CloseIdleConnections(a.server()));
        } else if (action instanceof Log a) {
            carrier.accept(new Command.WriteLog(null, a.text()));
        }
    }

    private void send(Send s) {
        sends++;
        Life life = lives.ofDecide(s.id());
        int number = life == null ? 0 : life.sends++;
        Integer kind = kinds.get(s.server());
        long cut =
                life == null ? 0 : s.cutAt() == 0 ? life.endsBy : Math.min(s.cutAt(), life.endsBy);
        if (life == null || life.finished || life.out != null || kind == null || cut <= now) {
            Outcome moot =
                    life != null && !life.finished && cut <= now
                            ? Outcome.TIMED_OUT
                            : Outcome.SKIPPED;
            outcomes++;
            events.add(
                    new AttemptEnded(
                            s.id(),
                            number,
                            s.server(),
                            moot,
                            0,
                            life == null || life.finished,
                            0,
                            ServerLoad.NONE));
            return;
        }
        boolean read = settings.routing().serverKinds().get(kind).role() == Role.READ;
        AttemptId id = new AttemptId(s.id(), number);
        Life.Attempt a = new Life.Attempt(id, s.server(), kind, read, now, cut);
        life.out = a;
        life.step(read ? Phase.Step.SEND_READ : Phase.Step.SEND_WRITE);
        if (cut < Long.MAX_VALUE) {
            alarms.schedule(cut, new Cut(life, a));
        }
        String place = read ? "" : reservations.placeAt(life, s.server(), now);
        reservations.sending(life, a, now);
        if (read) {
            carrier.accept(
                    new Command.StartPrefill(
                            id,
                            life.name,
                            s.server(),
                            life.call,
                            life.prompt(),
                            life.promptTokens(),
                            cut,
                            s.why()));
        } else {
            carrier.accept(
                    new Command.StartDecode(
                            id,
                            life.name,
                            s.server(),
                            life.call,
                            life.state,
                            place,
                            life.prompt(),
                            life.promptTokens(),
                            life.tokens,
                            life.endsBy,
                            sendBy(life),
                            s.why()));
        }
    }

    /**
     * Decide heeds a class's window as it decides; until the bytes leave, a connection may have to
     * come up.
     */
    private long sendBy(Life life) {
        RequestClass cls = settings.routing().classes().get(life.call.classIndex());
        return life.mayHaveRunFrom == Life.NEVER || cls.idempotency() != Idempotency.KEYED
                ? Long.MAX_VALUE
                : life.mayHaveRunFrom + cls.idempotencyWindowMicros() - HOLD_UP_MICROS;
    }

    private void answer(long id, Phase.Step step, RequestResult answer) {
        Life life = lives.ofDecide(id);
        // Decide's timer of the deadline may still ring for a stream that has begun; like a Cancel
        // then, it concerns
        // something that was concluded by the first token, and is passed over.
        if (life != null && !life.finished && life.phase != Phase.STREAMING) {
            // A stream that went on elsewhere has begun: what the client has can't be refused any
            // more.
            boolean begun = life.tokens > 0 && answer instanceof RequestResult.Refused;
            life.step(begun ? Phase.Step.FAIL : step);
            finish(
                    life,
                    begun
                            ? new RequestResult.Failed(
                                    "the answer broke off and could not go on: "
                                            + ReasonFormatter.describeFailure(
                                                    ((RequestResult.Refused) answer).why()),
                                    false,
                                    ((RequestResult.Refused) answer).why())
                            : answer);
        }
    }

    private void cancel(Cancel c) {
        Life life = lives.ofDecide(c.id());
        Life.Attempt a = Lives.out(life, new AttemptId(c.id(), c.attempt()));
        if (a != null && !a.started) {
            drop(life, a, Outcome.CANCELLED);
        }
    }

    private void move(Life life) {
        if (life != null
                && !life.finished
                && life.phase == Phase.STREAMING
                && (settings.resumesBrokenStreams() || settings.streams().clientsResume())) {
            drop(life, life.out, Outcome.CANCELLED);
        }
    }

    private void log(Life life, String text) {
        carrier.accept(new Command.WriteLog(life.name, text));
    }
}

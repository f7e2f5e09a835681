package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Simulates the workers of the platform around one router in virtual time. The workers hold the
 * states that prefills produce under the ID of the request, and any worker can release them. Runs a
 * given sequence of events and reports every case in which something was held for longer than the
 * time limit while no attempt of the request was at a worker.
 */
final class ReservationWorld {
    /** The outcome of attempts after all events of the sequence. */
    enum Tail {
        SERVED,
        FULL,
        SILENT
    }

    private static final String ID = "a";
    private static final long BUDGET = 2 * Fleet.SECOND;
    private static final long STEP = 20_000;
    private static final long CONNECT_LIMIT = 250_000;
    private static final long SOON = 1000;
    private static final long UNREACHABLE_FOR = 3 * Fleet.SECOND;
    private static final long RELEASE_ARRIVES = 3000;
    private static final long SLOW_RELEASE_ARRIVES = 100_000;

    private enum Connecting {
        STANDS,
        FAILS,
        HANGS,
        SWALLOWS
    }

    private static final class Out {
        final AttemptId id;
        final String engine;
        final boolean read;
        boolean reached;
        boolean streaming;

        boolean waitsForState() {
            return reached && !read && !streaming;
        }

        Out(AttemptId id, String engine, boolean read) {
            this.id = id;
            this.engine = engine;
            this.read = read;
        }
    }

    private final Tail tail;
    private final Router router;
    private final TimerQueue<Runnable> world = new TimerQueue<>();
    private final Map<AttemptId, Out> out = new HashMap<>();
    private final Set<Long> abandoned = new HashSet<>();
    private final Set<String> gone = new HashSet<>();

    /** Engines that cannot be reached, with the time from which they are reachable again. */
    private final Map<String, Long> unreachable = new HashMap<>();

    private final ArrayDeque<ReservationEvent> releases = new ArrayDeque<>();
    private final List<String> faults = new ArrayList<>();
    private Connecting next = Connecting.STANDS;
    private long endsAfterDrop = -1;
    private boolean scripted = true;
    private boolean held;
    private long heldSince;
    private long client;
    private boolean answered;
    private long now;

    ReservationWorld(Tail tail, boolean writersRead) {
        this.tail = tail;
        router = new Router(Fleet.platformSettings(writersRead, BUDGET), this::take);
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    /** Runs one sequence of events. {@return the faults found} */
    List<String> play(List<ReservationEvent> events) {
        arrive();
        for (ReservationEvent event : events) {
            passTo(now + STEP);
            happen(event);
        }
        scripted = false;
        List.copyOf(out.values()).forEach(this::playTail);
        passTo(now + BUDGET + 6 * Fleet.SECOND);
        if (held) {
            faults.add("state still held at the end");
        }
        if (router.metrics().reservationCount() > 0) {
            faults.add(
                    "the router still counts "
                            + router.metrics().reservationCount()
                            + " reservations");
        }
        if (router.metrics().expiredReleases() > 0) {
            faults.add(router.metrics().expiredReleases() + " releases expired");
        }
        return faults.stream().distinct().toList();
    }

    private void arrive() {
        answered = false;
        client =
                router.requestArrived(
                        now,
                        InferenceRequest.builder("x", 100, 10)
                                .clientRequestId(ID)
                                .classIndex(Fleet.SAFE)
                                .session("s")
                                .sharedPrefix("p", 50)
                                .timeoutMicros(BUDGET)
                                .build());
    }

    private void passTo(long time) {
        while (Math.min(world.nextDueMicros(), router.nextTimerAt()) <= time) {
            now = Math.max(now, Math.min(world.nextDueMicros(), router.nextTimerAt()));
            check();
            router.advance(now);
            for (Runnable due = world.pollDue(now); due != null; due = world.pollDue(now)) {
                due.run();
            }
        }
        now = Math.max(now, time);
        check();
    }

    private void check() {
        boolean reached = out.values().stream().anyMatch(attempt -> attempt.reached);
        if (held && !reached && now - heldSince > Fleet.RELEASE) {
            faults.add("state held for longer than the time limit");
        }
    }

    private void hold() {
        held = true;
        heldSince = now;
    }

    // Events

    private void happen(ReservationEvent event) {
        Out attempt = out.values().stream().findFirst().orElse(null);
        boolean reading = attempt != null && attempt.read && attempt.reached;
        boolean writing = attempt != null && !attempt.read && attempt.reached && !attempt.streaming;
        switch (event) {
            case READ_ENDS -> {
                if (reading) {
                    readEnds(attempt);
                }
            }
            case READ_LOST -> loseIf(reading, attempt, Outcome.RESET, 0);
            case READ_ENDS_AND_IS_LOST -> {
                if (reading) {
                    hold();
                    lose(attempt, Outcome.RESET, 0);
                }
            }
            case READ_ENDS_AS_IT_IS_DROPPED -> endsAfterDrop = SOON;
            case READ_ENDS_LONG_AFTER_ITS_DROP -> endsAfterDrop = 2 * STEP;
            case WRITER_FULL -> loseIf(writing, attempt, Outcome.FULL, 0);
            case STATE_NOT_FETCHED -> loseIf(writing, attempt, Outcome.FULL, 1);
            case WRITER_RESET -> loseIf(writing, attempt, Outcome.RESET, 0);
            case WRITER_ERROR -> loseIf(writing, attempt, Outcome.ERROR, 0);
            case NEXT_UNREACHABLE -> next = Connecting.FAILS;
            case NEXT_CONNECTION_HANGS -> next = Connecting.HANGS;
            case NEXT_SWALLOWED -> next = Connecting.SWALLOWS;
            case TIME_PASSES -> passTo(now + Fleet.RELEASE / 2);
            case CLIENT_GONE -> disconnectClient();
            case DEADLINE -> passTo(now + BUDGET);
            case SAME_ID_AGAIN -> {
                if (answered) {
                    arrive();
                }
            }
            case RELEASE_LOST, RELEASE_REFUSED, RELEASE_SLOW -> releases.add(event);
            case WORKER_GONE -> removeEngineOf(attempt);
            default -> throw new IllegalStateException("unknown event " + event);
        }
    }

    private void loseIf(boolean possible, Out attempt, Outcome outcome, long note) {
        if (possible) {
            lose(attempt, outcome, note);
        }
    }

    private void disconnectClient() {
        if (!answered) {
            answered = true;
            router.clientDisconnected(now, client);
        }
    }

    private void removeEngineOf(Out attempt) {
        if (attempt != null && gone.add(attempt.engine)) {
            router.endpointsUpdated(
                    now, ListUpdateKind.UPDATE, List.of(Fleet.goneServer(attempt.engine)));
            if (attempt.reached) {
                lose(attempt, Outcome.RESET, 0);
            }
        }
    }

    private void readEnds(Out attempt) {
        end(attempt);
        hold();
        router.prefillCompleted(now, attempt.id, "", 0, ServerLoad.NONE);
    }

    private void lose(Out attempt, Outcome outcome, long note) {
        end(attempt);
        router.attemptFailed(now, attempt.id, outcome, note, ServerLoad.NONE);
    }

    /**
     * Ends an attempt. The time limit of what is held starts again with the outcome of an attempt
     * that was at a worker.
     */
    private void end(Out attempt) {
        out.remove(attempt.id);
        if (attempt.reached) {
            heldSince = now;
        }
    }

    private boolean isOut(Out attempt) {
        return out.get(attempt.id) == attempt;
    }

    private void playTail(Out attempt) {
        world.schedule(
                now + STEP,
                () -> {
                    if (!isOut(attempt)
                            || !attempt.reached
                            || tail == Tail.SILENT
                            || attempt.streaming) {
                        return;
                    }
                    if (tail == Tail.FULL) {
                        lose(attempt, Outcome.FULL, 0);
                    } else if (attempt.read) {
                        readEnds(attempt);
                    } else {
                        stream(attempt);
                    }
                });
    }

    private void stream(Out attempt) {
        held = false;
        attempt.streaming = true;
        router.opaqueEventReceived(now, attempt.id, new Object());
        world.schedule(
                now + STEP,
                () -> {
                    if (isOut(attempt)) {
                        end(attempt);
                        router.opaqueStreamCompleted(now, attempt.id, 0, ServerLoad.NONE);
                    }
                });
    }

    // Commands of the router

    private void take(Command order) {
        if (order instanceof Command.StartPrefill o) {
            send(new Out(o.attempt(), o.engine(), true));
        } else if (order instanceof Command.StartDecode o) {
            send(new Out(o.attempt(), o.engine(), false));
        } else if (order instanceof Command.CancelAttempt o) {
            drop(out.get(o.attempt()));
        } else if (order instanceof Command.FinishRequest) {
            answered = true;
        } else if (order instanceof Command.ReleaseReservation o) {
            release(o);
        } else if (order instanceof Command.AbandonRelease o) {
            abandoned.add(o.releaseId());
        } else if (order instanceof Command.CheckReachability o) {
            checkReachability(o.engine());
        }
    }

    private void send(Out attempt) {
        if (out.values().stream().anyMatch(other -> other.reached)) {
            faults.add("two attempts running at once");
        }
        Connecting connecting = gone.contains(attempt.engine) ? Connecting.FAILS : next;
        next = Connecting.STANDS;
        out.put(attempt.id, attempt);
        router.attemptConnecting(now, attempt.id);
        if (connecting == Connecting.SWALLOWS) {
            router.attemptWritten(now, attempt.id);
            unreachable.put(attempt.engine, now + UNREACHABLE_FOR);
        } else if (connecting == Connecting.STANDS) {
            world.schedule(
                    now + SOON,
                    () -> {
                        if (isOut(attempt)) {
                            attempt.reached = true;
                            router.attemptWritten(now, attempt.id);
                            if (!scripted) {
                                playTail(attempt);
                            }
                        }
                    });
        } else if (connecting == Connecting.FAILS) {
            world.schedule(
                    now + CONNECT_LIMIT,
                    () -> {
                        if (isOut(attempt)) {
                            lose(attempt, Outcome.CONNECT_FAILED, 0);
                        }
                    });
        }
    }

    private void drop(Out attempt) {
        if (attempt == null) {
            return;
        }
        end(attempt);
        if (attempt.read && attempt.reached && endsAfterDrop >= 0) {
            world.schedule(now + endsAfterDrop, this::hold);
            endsAfterDrop = -1;
        }
    }

    /**
     * A reachable engine answers at once; an unreachable one answers as soon as it is reachable
     * again.
     */
    private void checkReachability(String engine) {
        if (gone.contains(engine)) {
            world.schedule(now + SOON, () -> router.reachabilityChecked(now, engine, true));
            return;
        }
        long askedAt = now;
        long backAt = unreachable.getOrDefault(engine, now);
        world.schedule(
                Math.max(now, backAt) + SOON,
                () -> {
                    if (!gone.contains(engine)) {
                        router.bytesReceived(now, engine);
                        router.callAnswered(now, engine, askedAt);
                    }
                    router.reachabilityChecked(now, engine, true);
                });
    }

    private void release(Command.ReleaseReservation o) {
        ReservationEvent fate =
                gone.contains(o.engine()) ? ReservationEvent.RELEASE_REFUSED : releases.poll();
        boolean lost = unreachable.getOrDefault(o.engine(), 0L) > now;
        if (fate == ReservationEvent.RELEASE_LOST || lost) {
            return;
        }
        long arrives =
                fate == ReservationEvent.RELEASE_SLOW ? SLOW_RELEASE_ARRIVES : RELEASE_ARRIVES;
        world.schedule(
                now + arrives,
                () -> {
                    if (abandoned.contains(o.releaseId())) {
                        return;
                    }
                    if (fate == ReservationEvent.RELEASE_REFUSED) {
                        router.releaseCompleted(now, o.releaseId(), false);
                        return;
                    }
                    // A release does not drop a state that a decode is waiting for, but is answered
                    // nevertheless.
                    held &= out.values().stream().anyMatch(Out::waitsForState);
                    world.schedule(
                            now + RELEASE_ARRIVES,
                            () -> router.releaseCompleted(now, o.releaseId(), true));
                });
    }
}

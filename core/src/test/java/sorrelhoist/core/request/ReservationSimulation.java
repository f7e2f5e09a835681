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
final class ReservationSimulation {
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
        ESTABLISHED,
        FAILS,
        HANGS,
        LOSES_DATA
    }

    private static final class RunningAttempt {
        final AttemptId id;
        final String engine;
        final boolean prefill;
        boolean atWorker;
        boolean streaming;

        boolean waitsForState() {
            return atWorker && !prefill && !streaming;
        }

        RunningAttempt(AttemptId id, String engine, boolean prefill) {
            this.id = id;
            this.engine = engine;
            this.prefill = prefill;
        }
    }

    private final Tail tail;
    private final Router router;
    private final TimerQueue<Runnable> scheduledEvents = new TimerQueue<>();
    private final Map<AttemptId, RunningAttempt> runningAttempts = new HashMap<>();
    private final Set<Long> abandoned = new HashSet<>();
    private final Set<String> gone = new HashSet<>();

    /** Engines that cannot be reached, with the time from which they are reachable again. */
    private final Map<String, Long> unreachable = new HashMap<>();

    private final ArrayDeque<ReservationEvent> releases = new ArrayDeque<>();
    private final List<String> faults = new ArrayList<>();
    private Connecting next = Connecting.ESTABLISHED;
    private long endsAfterCancellation = -1;
    private boolean scripted = true;
    private boolean held;
    private long heldSince;
    private long client;
    private boolean answered;
    private long now;

    ReservationSimulation(Tail tail, boolean decodersMayPrefill) {
        this.tail = tail;
        router = new Router(Fleet.platformSettings(decodersMayPrefill, BUDGET), this::execute);
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    /** Runs one sequence of events. {@return the faults found} */
    List<String> run(List<ReservationEvent> events) {
        arrive();
        for (ReservationEvent event : events) {
            advanceTo(now + STEP);
            apply(event);
        }
        scripted = false;
        List.copyOf(runningAttempts.values()).forEach(this::scheduleTail);
        advanceTo(now + BUDGET + 6 * Fleet.SECOND);
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

    private void advanceTo(long time) {
        while (Math.min(scheduledEvents.nextDueMicros(), router.nextTimerAt()) <= time) {
            now = Math.max(now, Math.min(scheduledEvents.nextDueMicros(), router.nextTimerAt()));
            check();
            router.advance(now);
            for (Runnable due = scheduledEvents.pollDue(now);
                    due != null;
                    due = scheduledEvents.pollDue(now)) {
                due.run();
            }
        }
        now = Math.max(now, time);
        check();
    }

    private void check() {
        boolean reached = runningAttempts.values().stream().anyMatch(attempt -> attempt.atWorker);
        if (held && !reached && now - heldSince > Fleet.RELEASE) {
            faults.add("state held for longer than the time limit");
        }
    }

    private void hold() {
        held = true;
        heldSince = now;
    }

    // Events

    private void apply(ReservationEvent event) {
        RunningAttempt attempt = runningAttempts.values().stream().findFirst().orElse(null);
        boolean prefilling = attempt != null && attempt.prefill && attempt.atWorker;
        boolean decoding =
                attempt != null && !attempt.prefill && attempt.atWorker && !attempt.streaming;
        switch (event) {
            case PREFILL_ENDS -> {
                if (prefilling) {
                    completePrefill(attempt);
                }
            }
            case PREFILL_LOST -> failIf(prefilling, attempt, Outcome.RESET, 0);
            case PREFILL_ENDS_AND_IS_LOST -> {
                if (prefilling) {
                    hold();
                    fail(attempt, Outcome.RESET, 0);
                }
            }
            case PREFILL_ENDS_WHEN_CANCELLED -> endsAfterCancellation = SOON;
            case PREFILL_ENDS_LONG_AFTER_CANCELLATION -> endsAfterCancellation = 2 * STEP;
            case DECODE_ENGINE_FULL -> failIf(decoding, attempt, Outcome.FULL, 0);
            case STATE_NOT_FETCHED -> failIf(decoding, attempt, Outcome.FULL, 1);
            case DECODE_RESET -> failIf(decoding, attempt, Outcome.RESET, 0);
            case DECODE_ERROR -> failIf(decoding, attempt, Outcome.ERROR, 0);
            case NEXT_UNREACHABLE -> next = Connecting.FAILS;
            case NEXT_CONNECTION_HANGS -> next = Connecting.HANGS;
            case NEXT_LOST_IN_TRANSIT -> next = Connecting.LOSES_DATA;
            case TIME_PASSES -> advanceTo(now + Fleet.RELEASE / 2);
            case CLIENT_GONE -> disconnectClient();
            case DEADLINE -> advanceTo(now + BUDGET);
            case SAME_ID_AGAIN -> {
                if (answered) {
                    arrive();
                }
            }
            case RELEASE_LOST, RELEASE_REFUSED, RELEASE_SLOW -> releases.add(event);
            case WORKER_REMOVED -> removeEngineOf(attempt);
            default -> throw new IllegalStateException("unknown event " + event);
        }
    }

    private void failIf(boolean possible, RunningAttempt attempt, Outcome outcome, long note) {
        if (possible) {
            fail(attempt, outcome, note);
        }
    }

    private void disconnectClient() {
        if (!answered) {
            answered = true;
            router.clientDisconnected(now, client);
        }
    }

    private void removeEngineOf(RunningAttempt attempt) {
        if (attempt != null && gone.add(attempt.engine)) {
            router.endpointsUpdated(
                    now, ListUpdateKind.UPDATE, List.of(Fleet.goneServer(attempt.engine)));
            if (attempt.atWorker) {
                fail(attempt, Outcome.RESET, 0);
            }
        }
    }

    private void completePrefill(RunningAttempt attempt) {
        end(attempt);
        hold();
        router.prefillCompleted(now, attempt.id, "", 0, ServerLoad.NONE);
    }

    private void fail(RunningAttempt attempt, Outcome outcome, long note) {
        end(attempt);
        router.attemptFailed(now, attempt.id, outcome, note, ServerLoad.NONE);
    }

    /**
     * Ends an attempt. The time limit of what is held starts again with the outcome of an attempt
     * that was at a worker.
     */
    private void end(RunningAttempt attempt) {
        runningAttempts.remove(attempt.id);
        if (attempt.atWorker) {
            heldSince = now;
        }
    }

    private boolean isRunning(RunningAttempt attempt) {
        return runningAttempts.get(attempt.id) == attempt;
    }

    private void scheduleTail(RunningAttempt attempt) {
        scheduledEvents.schedule(
                now + STEP,
                () -> {
                    if (!isRunning(attempt)
                            || !attempt.atWorker
                            || tail == Tail.SILENT
                            || attempt.streaming) {
                        return;
                    }
                    if (tail == Tail.FULL) {
                        fail(attempt, Outcome.FULL, 0);
                    } else if (attempt.prefill) {
                        completePrefill(attempt);
                    } else {
                        stream(attempt);
                    }
                });
    }

    private void stream(RunningAttempt attempt) {
        held = false;
        attempt.streaming = true;
        router.opaqueEventReceived(now, attempt.id, new Object());
        scheduledEvents.schedule(
                now + STEP,
                () -> {
                    if (isRunning(attempt)) {
                        end(attempt);
                        router.opaqueStreamCompleted(now, attempt.id, 0, ServerLoad.NONE);
                    }
                });
    }

    // Commands of the router

    private void execute(Command command) {
        if (command instanceof Command.StartPrefill o) {
            send(new RunningAttempt(o.attempt(), o.engine(), true));
        } else if (command instanceof Command.StartDecode o) {
            send(new RunningAttempt(o.attempt(), o.engine(), false));
        } else if (command instanceof Command.CancelAttempt o) {
            cancel(runningAttempts.get(o.attempt()));
        } else if (command instanceof Command.FinishRequest) {
            answered = true;
        } else if (command instanceof Command.ReleaseReservation o) {
            release(o);
        } else if (command instanceof Command.AbandonRelease o) {
            abandoned.add(o.releaseId());
        } else if (command instanceof Command.CheckReachability o) {
            checkReachability(o.engine());
        }
    }

    private void send(RunningAttempt attempt) {
        if (runningAttempts.values().stream().anyMatch(other -> other.atWorker)) {
            faults.add("two attempts running at once");
        }
        Connecting connecting = gone.contains(attempt.engine) ? Connecting.FAILS : next;
        next = Connecting.ESTABLISHED;
        runningAttempts.put(attempt.id, attempt);
        router.attemptConnecting(now, attempt.id);
        if (connecting == Connecting.LOSES_DATA) {
            router.attemptWritten(now, attempt.id);
            unreachable.put(attempt.engine, now + UNREACHABLE_FOR);
        } else if (connecting == Connecting.ESTABLISHED) {
            scheduledEvents.schedule(
                    now + SOON,
                    () -> {
                        if (isRunning(attempt)) {
                            attempt.atWorker = true;
                            router.attemptWritten(now, attempt.id);
                            if (!scripted) {
                                scheduleTail(attempt);
                            }
                        }
                    });
        } else if (connecting == Connecting.FAILS) {
            scheduledEvents.schedule(
                    now + CONNECT_LIMIT,
                    () -> {
                        if (isRunning(attempt)) {
                            fail(attempt, Outcome.CONNECT_FAILED, 0);
                        }
                    });
        }
    }

    private void cancel(RunningAttempt attempt) {
        if (attempt == null) {
            return;
        }
        end(attempt);
        if (attempt.prefill && attempt.atWorker && endsAfterCancellation >= 0) {
            scheduledEvents.schedule(now + endsAfterCancellation, this::hold);
            endsAfterCancellation = -1;
        }
    }

    /**
     * A reachable engine answers at once; an unreachable one answers as soon as it is reachable
     * again.
     */
    private void checkReachability(String engine) {
        if (gone.contains(engine)) {
            scheduledEvents.schedule(
                    now + SOON, () -> router.reachabilityChecked(now, engine, true));
            return;
        }
        long askedAt = now;
        long backAt = unreachable.getOrDefault(engine, now);
        scheduledEvents.schedule(
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
        scheduledEvents.schedule(
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
                    held &=
                            runningAttempts.values().stream()
                                    .anyMatch(RunningAttempt::waitsForState);
                    scheduledEvents.schedule(
                            now + RELEASE_ARRIVES,
                            () -> router.releaseCompleted(now, o.releaseId(), true));
                });
    }
}

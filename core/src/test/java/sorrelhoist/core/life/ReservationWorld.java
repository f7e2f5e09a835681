package sorrelhoist.core.life;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.Routing.Limits;
import sorrelhoist.Routing.ListForm;
import sorrelhoist.Routing.Load;
import sorrelhoist.Routing.Outcome;
import sorrelhoist.Routing.Server;
import sorrelhoist.Routing.ServerState;
import sorrelhoist.Routing.Settings;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.core.time.Alarms;

/**
 * Workers of the operators' platform around one router, in virtual time: they keep what reads leave
 * under the request's id, and any of them releases it. Told in which order what happens, it reports
 * each moment in which something was held for longer than the limit while no attempt of the request
 * was with a worker.
 */
final class ReservationWorld {
    /**
     * What can happen. Those that concern no attempt that is out change what becomes of the next
     * one.
     */
    enum Happening {
        READ_ENDS,
        READ_LOST,
        READ_ENDS_AND_IS_LOST,
        READ_ENDS_AS_IT_IS_DROPPED,
        READ_ENDS_LONG_AFTER_ITS_DROP,
        WRITER_FULL,
        STATE_NOT_FETCHED,
        WRITER_RESET,
        WRITER_ERROR,
        NEXT_UNREACHABLE,
        NEXT_CONNECTION_HANGS,
        NEXT_READ_SWALLOWED,
        TIME_PASSES,
        CLIENT_GONE,
        DEADLINE,
        SAME_ID_AGAIN,
        RELEASE_LOST,
        RELEASE_REFUSED,
        RELEASE_SLOW,
        WORKER_GONE
    }

    /** What becomes of attempts once all that was to happen has happened. */
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

        Out(AttemptId id, String engine, boolean read) {
            this.id = id;
            this.engine = engine;
            this.read = read;
        }
    }

    private final Tail tail;
    private final Router router;
    private final Alarms<Runnable> world = new Alarms<>();
    private final Map<AttemptId, Out> out = new HashMap<>();
    private final Set<Long> abandoned = new HashSet<>();
    private final Set<String> gone = new HashSet<>();
    private final ArrayDeque<Happening> releases = new ArrayDeque<>();
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
        Settings small = Fleet.decide(true);
        Limits limits = small.limits();
        Settings settings =
                new Settings(
                        small.routers(),
                        small.self(),
                        small.zone(),
                        small.asksDiscovery(),
                        small.overShareWorth(),
                        small.reports(),
                        small.classes(),
                        small.tenants(),
                        small.kinds(),
                        new Limits(
                                limits.maxAttempts(),
                                limits.cancel(),
                                limits.probes(),
                                limits.backoffHints(),
                                limits.maxBackoffMicros(),
                                writersRead,
                                limits.tells(),
                                limits.probePrice(),
                                limits.tellPrice()),
                        small.rules());
        router =
                new Router(
                        new RouterSettings(
                                "router",
                                1,
                                settings,
                                List.of(BUDGET, BUDGET, BUDGET),
                                List.of(0L, 0L, 0L),
                                0,
                                false,
                                Fleet.STALL,
                                100,
                                7,
                                new Streams(true, false, Fleet.SECOND, true),
                                ReleaseReach.ANY_ENGINE),
                        this::take);
        router.members(0, ListForm.COMPLETE, Fleet.servers());
    }

    /** Plays one order. {@return what was wrong in it} */
    List<String> play(List<Happening> events) {
        arrive();
        for (Happening event : events) {
            passTo(now + STEP);
            happen(event);
        }
        scripted = false;
        List.copyOf(out.values()).forEach(this::playTail);
        passTo(now + BUDGET + 6 * Fleet.SECOND);
        if (held) {
            faults.add("held at the end");
        }
        if (router.reserved() > 0) {
            faults.add("the router still counts " + router.reserved() + " reserved");
        }
        if (router.releasesExpired() > 0) {
            faults.add(router.releasesExpired() + " releases expired");
        }
        return faults.stream().distinct().toList();
    }

    private void arrive() {
        answered = false;
        client =
                router.arrived(
                        now,
                        new Call(ID, Fleet.SAFE, 0, "s", "p", 50, "x", 100, 10, BUDGET, 0, null));
    }

    private void passTo(long time) {
        while (Math.min(world.next(), router.nextAlarm()) <= time) {
            now = Math.max(now, Math.min(world.next(), router.nextAlarm()));
            check();
            router.advance(now);
            for (Runnable due = world.due(now); due != null; due = world.due(now)) {
                due.run();
            }
        }
        now = Math.max(now, time);
        check();
    }

    private void check() {
        boolean reached = out.values().stream().anyMatch(attempt -> attempt.reached);
        if (held && !reached && now - heldSince > Fleet.RELEASE) {
            faults.add("held for longer than the limit");
        }
    }

    private void hold() {
        held = true;
        heldSince = now;
    }

    // ---- What happens
    // -------------------------------------------------------------------------------------

    private void happen(Happening event) {
        Out attempt = out.values().stream().findFirst().orElse(null);
        boolean reading = attempt != null && attempt.read && attempt.reached;
        boolean writing = attempt != null && !attempt.read && attempt.reached && !attempt.streaming;
        switch (event) {
            case READ_ENDS -> {
                if (reading) {
                    readEnds(attempt);
                }
            }
            case READ_LOST -> {
                if (reading) {
                    lose(attempt, Outcome.RESET, 0);
                }
            }
            case READ_ENDS_AND_IS_LOST -> {
                if (reading) {
                    hold();
                    lose(attempt, Outcome.RESET, 0);
                }
            }
            case READ_ENDS_AS_IT_IS_DROPPED -> endsAfterDrop = SOON;
            case READ_ENDS_LONG_AFTER_ITS_DROP -> endsAfterDrop = 2 * STEP;
            case WRITER_FULL -> {
                if (writing) {
                    lose(attempt, Outcome.FULL, 0);
                }
            }
            case STATE_NOT_FETCHED -> {
                if (writing) {
                    lose(attempt, Outcome.FULL, 1);
                }
            }
            case WRITER_RESET -> {
                if (writing) {
                    lose(attempt, Outcome.RESET, 0);
                }
            }
            case WRITER_ERROR -> {
                if (writing) {
                    lose(attempt, Outcome.ERROR, 0);
                }
            }
            case NEXT_UNREACHABLE -> next = Connecting.FAILS;
            case NEXT_CONNECTION_HANGS -> next = Connecting.HANGS;
            case NEXT_READ_SWALLOWED -> next = Connecting.SWALLOWS;
            case TIME_PASSES -> passTo(now + Fleet.RELEASE / 2);
            case CLIENT_GONE -> {
                if (!answered) {
                    answered = true;
                    router.clientGone(now, client);
                }
            }
            case DEADLINE -> passTo(now + BUDGET);
            case SAME_ID_AGAIN -> {
                if (answered) {
                    arrive();
                }
            }
            case RELEASE_LOST, RELEASE_REFUSED, RELEASE_SLOW -> releases.add(event);
            case WORKER_GONE -> {
                if (attempt != null && gone.add(attempt.engine)) {
                    Server server =
                            Fleet.servers().stream()
                                    .filter(s -> s.id().equals(attempt.engine))
                                    .findFirst()
                                    .orElseThrow();
                    router.members(
                            now,
                            ListForm.UPDATE,
                            List.of(
                                    new Server(
                                            server.id(),
                                            server.zone(),
                                            server.kind(),
                                            server.cell(),
                                            ServerState.GONE,
                                            server.size(),
                                            0)));
                    if (attempt.reached) {
                        lose(attempt, Outcome.RESET, 0);
                    }
                }
            }
            default -> throw new IllegalStateException("unknown " + event);
        }
    }

    private void readEnds(Out attempt) {
        end(attempt);
        hold();
        router.readDone(now, attempt.id, "", 0, Load.NONE);
    }

    private void lose(Out attempt, Outcome outcome, long note) {
        end(attempt);
        router.attemptLost(now, attempt.id, outcome, note, Load.NONE);
    }

    /**
     * The time of what is held counts from the last outcome of an attempt that was with a worker.
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
        world.set(
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
        router.event(now, attempt.id, new Object());
        world.set(
                now + STEP,
                () -> {
                    if (isOut(attempt)) {
                        end(attempt);
                        router.streamWhole(now, attempt.id, 0, Load.NONE);
                    }
                });
    }

    // ---- What the router orders
    // ---------------------------------------------------------------------------

    private void take(Command order) {
        if (order instanceof Command.Read o) {
            send(new Out(o.attempt(), o.engine(), true));
        } else if (order instanceof Command.Write o) {
            send(new Out(o.attempt(), o.engine(), false));
        } else if (order instanceof Command.Drop o) {
            drop(out.get(o.attempt()));
        } else if (order instanceof Command.Finish) {
            answered = true;
        } else if (order instanceof Command.Release o) {
            release(o);
        } else if (order instanceof Command.AbandonRelease o) {
            abandoned.add(o.id());
        }
    }

    private void send(Out attempt) {
        if (out.values().stream().anyMatch(other -> other.reached)) {
            faults.add("two attempts at once");
        }
        Connecting connecting = gone.contains(attempt.engine) ? Connecting.FAILS : next;
        // A writer's connection that swallows the request is not played: see the incident of states
        // of lost reads.
        if (connecting == Connecting.SWALLOWS && !attempt.read) {
            connecting = Connecting.STANDS;
        } else {
            next = Connecting.STANDS;
        }
        out.put(attempt.id, attempt);
        router.attemptConnecting(now, attempt.id);
        if (connecting == Connecting.SWALLOWS) {
            router.attemptWritten(now, attempt.id);
        } else if (connecting == Connecting.STANDS) {
            world.set(
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
            world.set(
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
            world.set(now + endsAfterDrop, this::hold);
            endsAfterDrop = -1;
        }
    }

    private void release(Command.Release o) {
        Happening fate = gone.contains(o.engine()) ? Happening.RELEASE_REFUSED : releases.poll();
        if (fate == Happening.RELEASE_LOST) {
            return;
        }
        long arrives = fate == Happening.RELEASE_SLOW ? SLOW_RELEASE_ARRIVES : RELEASE_ARRIVES;
        world.set(
                now + arrives,
                () -> {
                    if (abandoned.contains(o.id())) {
                        return;
                    }
                    if (fate == Happening.RELEASE_REFUSED) {
                        router.releaseEnded(now, o.id(), false);
                        return;
                    }
                    held = false;
                    world.set(now + RELEASE_ARRIVES, () -> router.releaseEnded(now, o.id(), true));
                });
    }
}

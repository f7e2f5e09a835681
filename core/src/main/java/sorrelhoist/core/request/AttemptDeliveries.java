package sorrelhoist.core.request;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import sorrelhoist.core.delivery.AttemptDelivery.Evidence;
import sorrelhoist.core.delivery.DeliveryMonitor;
import sorrelhoist.core.delivery.DeliveryPolicy;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * Tracks whether running attempts have reached their engines. Reports the results to {@link
 * RequestReservations} and to the routing policy, which may then send a request to another engine.
 */
final class AttemptDeliveries {
    /** Outcomes that the engine itself returned for the attempt. */
    private static final Set<Outcome> ANSWERS =
            EnumSet.of(Outcome.DONE, Outcome.READ, Outcome.ERROR, Outcome.FULL);

    /**
     * Outcomes after which an engine may still hold the attempt without knowing that it has ended.
     */
    private static final Set<Outcome> UNANSWERED =
            EnumSet.of(Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.RESET);

    private final RouterClock clock;
    private final RequestReservations reservations;
    private final DecisionLoop decisions;
    private final Consumer<Command> commands;
    private final DeliveryMonitor<Attempt> monitor;

    AttemptDeliveries(
            RouterSettings settings,
            RouterClock clock,
            RequestReservations reservations,
            DecisionLoop decisions,
            Consumer<Command> commands) {
        this.clock = clock;
        this.reservations = reservations;
        this.decisions = decisions;
        this.commands = commands;
        DeliveryPolicy policy = new DeliveryPolicy(settings.releasePolicy().limitMicros());
        this.monitor = new DeliveryMonitor<>(policy, new MonitorListener());
    }

    /** Acts on the findings of the delivery monitor. */
    private final class MonitorListener implements DeliveryMonitor.Listener<Attempt> {
        @Override
        public void checkLiveness(String engine) {
            commands.accept(new Command.CheckReachability(engine));
        }

        @Override
        public void delivered(Attempt attempt) {
            reservations.delivered(attempt.request);
            if (attempt.delivery.wasReportedUnconfirmed()) {
                report(attempt);
            }
        }

        @Override
        public void unconfirmed(Attempt attempt) {
            report(attempt);
            decisions.submitEvent(
                    new DeliveryUnconfirmed(
                            attempt.request.routingId, attempt.id.number(), attempt.engine));
        }

        private void report(Attempt attempt) {
            commands.accept(
                    new Command.ReportDelivery(
                            attempt.request.name,
                            attempt.id.number(),
                            attempt.engine,
                            attempt.delivery.state(),
                            clock.now() - attempt.delivery.writtenAt(),
                            attempt.request.history().toString()));
        }
    }

    /** Called when the last byte of an attempt was written. */
    void written(Attempt attempt) {
        long heldSince = attempt.prefill ? clock.now() : reservations.idleSince(attempt.request);
        monitor.written(attempt, attempt.delivery, heldSince, clock.now());
    }

    /** Called when the engine responds to an attempt. */
    void answered(Attempt attempt) {
        monitor.answered(attempt, attempt.delivery);
    }

    /**
     * Called when an attempt ends, successfully or not.
     *
     * @return whether the router has to wait for a response from the engine to know that the end of
     *     the attempt has reached the engine; until then, a prefill may still complete, however
     *     late, and a decode may still wait in the engine's queue for what is reserved
     */
    boolean ended(Attempt attempt, Outcome outcome) {
        if (ANSWERS.contains(outcome)) {
            answered(attempt);
            return false;
        }
        monitor.ended(attempt, attempt.delivery);
        boolean awaitsEngine =
                UNANSWERED.contains(outcome)
                        && attempt.delivery.isWritten()
                        && attempt.delivery.evidence() != Evidence.ASSUMED
                        && reservations.isListed(attempt.engine)
                        && (attempt.prefill || mayStayQueued(attempt));
        if (awaitsEngine) {
            monitor.awaitEngine(attempt.engine, attempt.delivery, clock.now());
        }
        return awaitsEngine;
    }

    private boolean mayStayQueued(Attempt attempt) {
        return !attempt.streaming && reservations.mayWaitForReservation(attempt);
    }

    /**
     * Called when an engine begins to respond to a call that was written to it at {@code writtenAt}
     * or later.
     */
    void callAnswered(String engine, long writtenAt) {
        if (monitor.callAnswered(engine, writtenAt)) {
            reservations.awaitedEngineResponded(engine);
        }
    }

    /**
     * Applies the complete endpoint list or an update of it. Stops waiting for engines that are no
     * longer on the list.
     */
    void endpointsUpdated(ListUpdateKind updateKind, List<Server> servers) {
        Set<String> listed = new HashSet<>();
        for (Server server : servers) {
            if (server.state() == ServerState.GONE) {
                engineRemoved(server.id());
            } else {
                listed.add(server.id());
            }
        }
        if (updateKind == ListUpdateKind.COMPLETE) {
            monitor.watchedEngines().stream()
                    .filter(engine -> !listed.contains(engine))
                    .forEach(this::engineRemoved);
        }
    }

    private void engineRemoved(String engine) {
        monitor.engineRemoved(engine);
        reservations.engineRemoved(engine);
    }

    /**
     * Called when a reachability check of an engine ended; {@code asked} is false if the check
     * could not be sent.
     */
    void reachabilityChecked(String engine, boolean sent) {
        if (sent) {
            monitor.livenessCheckEnded(engine, clock.now());
        } else {
            monitor.livenessCheckNotSent(engine, clock.now());
        }
    }

    /** Sends the reachability checks and reports the unconfirmed attempts that are due. */
    void advance() {
        monitor.advance(clock.now());
    }

    /** {@return when {@link #advance()} has to be called next; Long.MAX_VALUE for never} */
    long nextDueMicros() {
        return monitor.nextDueMicros();
    }

    int unconfirmedAttempts() {
        return monitor.watchedCount();
    }

    long reportedUnconfirmed() {
        return monitor.unconfirmedCount();
    }

    long reachabilityChecks() {
        return monitor.livenessChecksSent();
    }
}

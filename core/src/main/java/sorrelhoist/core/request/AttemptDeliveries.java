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
 * Whether running attempts have reached their engines, and who has to know: what is reserved for
 * their requests, and the routing policy, which may send a request elsewhere.
 */
final class AttemptDeliveries {
    /** Outcomes that are the engine's own answer to the attempt. */
    private static final Set<Outcome> ANSWERS =
            EnumSet.of(Outcome.DONE, Outcome.READ, Outcome.ERROR, Outcome.FULL);

    /** Outcomes after which an engine may still have the attempt, and not know that it is over. */
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

    /** Carries out what the monitor finds. */
    private final class MonitorListener implements DeliveryMonitor.Listener<Attempt> {
        @Override
        public void ask(String engine) {
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

    /** The attempt's last byte was written. */
    void written(Attempt attempt) {
        long heldSince = attempt.prefill ? clock.now() : reservations.heldSince(attempt.request);
        monitor.written(attempt, attempt.delivery, heldSince, clock.now());
    }

    /** The engine answers the attempt. */
    void answered(Attempt attempt) {
        monitor.answered(attempt, attempt.delivery);
    }

    /**
     * The attempt ended, well or not.
     *
     * @return whether its engine has to be heard before it is known that its end has arrived there:
     *     a prefill may yet end well, however late, and a decode may yet wait for what is held
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
        return !attempt.streaming && reservations.mayWaitFor(attempt);
    }

    /** An engine began to answer a call that was written to it at a time. */
    void callAnswered(String engine, long writtenAt) {
        if (monitor.callAnswered(engine, writtenAt)) {
            reservations.awaitedEngineHeard(engine);
        }
    }

    /** The endpoint list, or an update of it: what left it is not waited for any longer. */
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

    /** The call that asked an engine for a sign of life ended, or could not be made. */
    void reachabilityChecked(String engine, boolean asked) {
        if (asked) {
            monitor.questionEnded(engine, clock.now());
        } else {
            monitor.questionNotAsked(engine, clock.now());
        }
    }

    /** Asks and reports what is due. */
    void advance() {
        monitor.advance(clock.now());
    }

    /** {@return when {@link #advance()} is next needed; Long.MAX_VALUE for never} */
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
        return monitor.questionsAsked();
    }
}

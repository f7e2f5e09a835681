package sorrelhoist.edge;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.statetransfer.DonorSelection;
import sorrelhoist.protocol.plan.PeerList;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.ProbeResult;
import sorrelhoist.protocol.plan.ReplicaSlot;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.RosterEntry;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * Translates events from the planner into events of the router. Called on the network thread of the
 * planner stream; endpoint lists are processed on the router's thread.
 */
final class PlanEventHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PlanEventHandler.class);

    /** Server states, indexed by their number on the wire. */
    private static final ServerState[] STATES = {
        ServerState.SERVING, ServerState.DRAINING, ServerState.GONE
    };

    /** Kinds of endpoint lists, indexed by their number on the wire. */
    private static final ListUpdateKind[] UPDATE_KINDS = {
        ListUpdateKind.UPDATE, ListUpdateKind.COMPLETE, ListUpdateKind.UNAVAILABLE
    };

    private final RouterEventLoop router;
    private final EngineTable engines;
    private final Consumer<List<DonorSelection.Donor>> onPeers;
    private Runnable onFirstEngines;

    /**
     * Creates a handler.
     *
     * @param router the event loop that receives the events
     * @param engines the table of listed engines; used on the router's thread
     * @param onFirstEngines run once, on the router's thread, after the first endpoint list that
     *     contains engines
     * @param onPeers receives the list of the other edges whenever it changes
     */
    PlanEventHandler(
            RouterEventLoop router,
            EngineTable engines,
            Runnable onFirstEngines,
            Consumer<List<DonorSelection.Donor>> onPeers) {
        this.router = router;
        this.engines = engines;
        this.onFirstEngines = onFirstEngines;
        this.onPeers = onPeers;
    }

    /** Handles an event from the planner. */
    void handle(PlanEvent event) {
        if (event.slot() != null && event.slot().replicaCount() > 0) {
            slotAssigned(event.slot());
        } else if (event.roster() != null) {
            router.execute(r -> rosterReceived(event.roster()));
        } else if (event.probe() != null) {
            probeAnswered(event.probe());
        } else if (event.peers() != null) {
            onPeers.accept(donors(event.peers()));
        } else if (event.peerMessage() != null) {
            router.execute(
                    r ->
                            r.peerMessageReceived(
                                    router.now(),
                                    event.peerMessage().sender(),
                                    event.peerMessage().body()));
        }
    }

    private void slotAssigned(ReplicaSlot slot) {
        LOG.atInfo()
                .addKeyValue("event", "replica_slot")
                .addKeyValue("replicas", slot.replicaCount())
                .addKeyValue("index", slot.index())
                .log("replica slot assigned");
        router.execute(r -> r.routerCountChanged(router.now(), slot.replicaCount(), slot.index()));
    }

    private void probeAnswered(ProbeResult result) {
        boolean answered = result.answered();
        ServerLoad load =
                answered
                        ? new ServerLoad(
                                result.memoryUtilization(),
                                result.queuedTokens(),
                                result.inFlightRequests(),
                                result.queuedRequests())
                        : ServerLoad.NONE;
        Outcome outcome = answered ? Outcome.DONE : Outcome.TIMED_OUT;
        router.execute(
                r ->
                        r.probeCompleted(
                                router.now(),
                                result.engine(),
                                outcome,
                                result.latencyMicros(),
                                load));
    }

    private static List<DonorSelection.Donor> donors(PeerList peers) {
        return peers.peers().stream()
                .map(p -> new DonorSelection.Donor(p.edge(), p.zone(), p.address()))
                .toList();
    }

    private void rosterReceived(Roster roster) {
        if (roster.form() < 0 || roster.form() >= UPDATE_KINDS.length) {
            return;
        }
        ListUpdateKind kind = UPDATE_KINDS[roster.form()];
        List<EngineTable.ListedEngine> listed =
                roster.entries().stream().map(PlanEventHandler::listedEngine).toList();
        List<Server> servers = engines.update(router.now(), listed);
        engines.warnings()
                .forEach(w -> LOG.atWarn().addKeyValue("event", "engine_excluded").log(w));
        LOG.atInfo()
                .addKeyValue("event", "endpoint_list")
                .addKeyValue("kind", kind)
                .addKeyValue("engines", servers.size())
                .addKeyValue("epoch", roster.epoch())
                .addKeyValue("age_us", roster.ageMicros())
                .log("endpoint list received");
        router.updateEndpoints(kind, servers);
        if (!servers.isEmpty()) {
            onFirstEngines.run();
            onFirstEngines = () -> {};
        }
    }

    private static EngineTable.ListedEngine listedEngine(RosterEntry entry) {
        return new EngineTable.ListedEngine(
                entry.id(),
                entry.zone(),
                entry.rack(),
                entry.kind(),
                STATES[Math.min(Math.max(0, entry.state()), STATES.length - 1)],
                entry.size(),
                entry.incarnation(),
                entry.uptimeMicros(),
                entry.address());
    }
}

package sorrelhoist.lab.soak;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;
import sorrelhoist.lab.soak.WorkerEntry.Role;
import sorrelhoist.lab.soak.WorkerEntry.State;

/** One worker and what discovery says of it. */
final class WorkerNode {
    /** What an agent could not deliver counts as told this long after it can be reached. */
    private static final long NOTIFICATION_MILLIS = 6000;

    private static final int WORKERS_PER_CELL = 4;
    private static final int SEED_FACTOR = 31;

    /** With less than this left, the workers of every other cell drop a request. */
    private static final long LITTLE_TIME_MILLIS = 100;

    final int index;
    final WorkerStandIn standIn;
    State state = State.ACTIVE;
    long bootMillis;
    boolean replacing;
    private final HarnessLoop harness;
    private final FleetTimeline timeline;
    private final List<RouterNode> routers;

    /**
     * Creates a worker and starts it.
     *
     * @param index its number; even ones prefill, odd ones stream answers
     * @param seed of the run
     * @param idleTimeoutMillis after which it closes an idle connection
     * @param harness where it lives
     * @param log takes what it sees
     * @param timeline takes what routers were told of it
     * @param routers the fleet's, filled by the fleet
     */
    WorkerNode(
            int index,
            long seed,
            long idleTimeoutMillis,
            HarnessLoop harness,
            TrafficLog log,
            FleetTimeline timeline,
            List<RouterNode> routers)
            throws IOException {
        this.index = index;
        this.harness = harness;
        this.timeline = timeline;
        this.routers = routers;
        standIn =
                new WorkerStandIn(
                        "w" + index,
                        index % 2 == 0 ? Role.READ : Role.WRITE,
                        harness.eventLoop(),
                        log,
                        seed * SEED_FACTOR + index,
                        idleTimeoutMillis);
        standIn.setCancelsQueuedAttempts((index / 2 + seed) % 2 == 0);
        if ((index / WORKERS_PER_CELL + seed) % 2 == 0) {
            standIn.setMinMillisLeft(LITTLE_TIME_MILLIS);
        }
        standIn.start();
    }

    private WorkerEntry entryFor(RouterNode router) {
        return new WorkerEntry(
                standIn.uid,
                router.links.get(index).endpoint(),
                standIn.role,
                index / WORKERS_PER_CELL,
                state,
                bootMillis);
    }

    /** Tells every router of its state, as far as its agent can. */
    void announce() throws Exception {
        harness.run(
                () -> {
                    long now = System.nanoTime();
                    routers.forEach(router -> announceTo(router, now));
                });
    }

    private void announceTo(RouterNode router, long now) {
        boolean delivers = router.discoveryAgent().deliversChanges();
        for (DiscoveryStandIn agent : router.discoveryAgents) {
            agent.publish(entryFor(router));
        }
        RouterIncarnation incarnation = router.currentIncarnation();
        if (incarnation == null) {
            return;
        }
        if (delivers || state == State.ACTIVE) {
            recordNotification(incarnation, now);
        } else {
            recordOnceReachable(router, incarnation, now);
        }
    }

    private void recordNotification(RouterIncarnation router, long at) {
        boolean active = state == State.ACTIVE;
        timeline.recordNotification(standIn.uid, router.router, router.number, at, active);
        if (active) {
            timeline.workerStarts.stream()
                    .filter(start -> start.worker.equals(standIn.uid))
                    .reduce((first, second) -> second)
                    .ifPresent(start -> start.notifiedAt.put(router.router, at));
        }
    }

    private void recordOnceReachable(RouterNode router, RouterIncarnation incarnation, long now) {
        State announced = state;
        harness.schedule(
                () -> {
                    if (router.currentIncarnation() != incarnation || state != announced) {
                        return;
                    }
                    if (router.discoveryAgent().deliversChanges()) {
                        long delay = TimeUnit.MILLISECONDS.toNanos(NOTIFICATION_MILLIS);
                        timeline.recordNotification(
                                standIn.uid,
                                incarnation.router,
                                incarnation.number,
                                now + delay,
                                false);
                    } else {
                        recordOnceReachable(router, incarnation, System.nanoTime());
                    }
                },
                NOTIFICATION_MILLIS);
    }
}

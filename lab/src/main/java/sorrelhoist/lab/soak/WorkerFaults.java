package sorrelhoist.lab.soak;

import java.util.Random;
import sorrelhoist.lab.soak.FaultInjector.Injection;
import sorrelhoist.lab.soak.WorkerEntry.State;

/** Ends workers and has them hang and misbehave. */
final class WorkerFaults {
    private static final long MIN_LEAVE_MILLIS = 2500;
    private static final long RESTART_DELAY_MILLIS = 1000;
    private static final long SLACK_MILLIS = 300;
    private static final double MIN_MISBEHAVING_SHARE = 0.2;
    private final SoakFleet fleet;
    private final ActionQueue actions;

    WorkerFaults(SoakFleet fleet, ActionQueue actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    /** A worker dies, discovery notices later, and it comes back cold. */
    void killAndReplace(Injection fault) throws Exception {
        WorkerNode worker = fault.worker();
        if (!canReplace(worker)) {
            return;
        }
        worker.replacing = true;
        worker.state = State.LEFT;
        fleet.killWorker(worker);
        actions.schedule(1 + fault.lastsMillis() / 4, worker::announce);
        replace(worker, fault.lastsMillis());
    }

    /** A worker drains, leaves, and comes back cold. */
    void drainAndReplace(Injection fault) throws Exception {
        WorkerNode worker = fault.worker();
        if (!canReplace(worker)) {
            return;
        }
        worker.replacing = true;
        worker.state = State.LEAVING;
        worker.announce();
        fleet.runOnLoop(() -> worker.standIn.setDraining(true));
        replace(worker, fault.lastsMillis());
    }

    /** {@return whether a worker of its role remains without this one} */
    private boolean canReplace(WorkerNode worker) {
        long alike =
                fleet.workers.stream()
                        .filter(other -> other.standIn.role == worker.standIn.role)
                        .filter(other -> !other.replacing)
                        .count();
        return !worker.replacing && alike >= 2;
    }

    private void replace(WorkerNode worker, long lastsMillis) {
        long leavesAfter = Math.max(lastsMillis, MIN_LEAVE_MILLIS);
        actions.schedule(
                leavesAfter,
                () -> {
                    fleet.killWorker(worker);
                    worker.state = State.LEFT;
                    worker.announce();
                });
        actions.schedule(
                leavesAfter + RESTART_DELAY_MILLIS,
                () -> {
                    fleet.startWorker(worker);
                    worker.state = State.ACTIVE;
                    worker.announce();
                    worker.replacing = false;
                });
    }

    /** A worker does nothing for a while; its connections stay open. */
    void hang(Injection fault) throws Exception {
        WorkerStandIn worker = fault.worker().standIn;
        HangMode[] modes = HangMode.values();
        HangMode mode = modes[fault.random().nextInt(modes.length)];
        fleet.runOnLoop(() -> worker.hang(mode));
        actions.schedule(hangMillis(fault), () -> fleet.runOnLoop(worker::resume));
    }

    /** {@return how long it hangs: often about as long as one of the limits that it may cross} */
    private long hangMillis(Injection fault) {
        long limit = fleet.rules.reservationLimitMillis();
        long[] durations = {
            limit / 4, limit / 2, limit, limit + SLACK_MILLIS, 2 * limit, fault.lastsMillis()
        };
        return durations[fault.random().nextInt(durations.length)];
    }

    /** A worker does something wrong to a part of its answers for a while. */
    void misbehave(Injection fault) throws Exception {
        WorkerStandIn worker = fault.worker().standIn;
        Random random = fault.random();
        Misbehaviour[] kinds = Misbehaviour.values();
        Misbehaviour kind = kinds[1 + random.nextInt(kinds.length - 1)];
        double share = MIN_MISBEHAVING_SHARE + (1 - MIN_MISBEHAVING_SHARE) * random.nextDouble();
        fleet.runOnLoop(() -> worker.setMisbehaviour(kind, share));
        actions.schedule(
                fault.lastsMillis(),
                () -> fleet.runOnLoop(() -> worker.setMisbehaviour(Misbehaviour.NONE, 0)));
    }
}

package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import sorrelhoist.core.request.ActualRequestState.SentAttempt;
import sorrelhoist.core.request.FaultyNetwork.Connection;

/** Draws the faults of one simulation run of a {@link FaultyFleet} and injects them. */
final class FaultSchedule {
    private static final long MILLI = 1000;
    private static final long LAST_FAULT_MICROS = 2500 * MILLI;
    private static final int MAX_FAULTS = 4;

    /**
     * Number of workers that may become unreachable or hang in one run; the others can always be
     * called.
     */
    private static final int FAULTY_WORKERS = 2;

    /** Share of the faults that are injected while an attempt is in transit. */
    private static final double IN_TRANSIT_SHARE = 0.5;

    private static final long MAX_TRANSIT_MICROS = 10 * MILLI;
    private static final long[] FAULT_MILLIS = {50, 150, 300, 600, 1200, 2500, 6000};
    private static final double PERMANENT_SHARE = 0.3;

    /**
     * Kinds of faults, in addition to clients that disconnect and workers that drop or reject
     * attempts.
     */
    enum Fault {
        CONNECTION_SILENT,
        LINK_SILENT,
        WORKER_HANGS,
        CONNECTION_RESET,
        /** Workers continue a prefill although they know that its connection has ended. */
        PREFILLS_CONTINUE,
        /**
         * Deliberate defect, to verify that the checks detect it: releases are answered but release
         * nothing.
         */
        RELEASES_DO_NOTHING
    }

    /** Faults that occur at a point in time; the others apply to the whole run. */
    static final Set<Fault> EVENTS =
            EnumSet.of(
                    Fault.CONNECTION_SILENT,
                    Fault.LINK_SILENT,
                    Fault.WORKER_HANGS,
                    Fault.CONNECTION_RESET);

    private final List<Fault> kinds;
    private final FaultyFleet fleet;
    private final FaultyNetwork network;
    private final FaultyTransport transport;
    private final Random random;
    private final List<String> faultyWorkers;

    /** Faults to be injected when the next attempt has been written. */
    private final ArrayDeque<Fault> inTransitFaults = new ArrayDeque<>();

    FaultSchedule(
            Set<Fault> faults,
            FaultyFleet fleet,
            FaultyNetwork network,
            FaultyTransport transport,
            Random random) {
        this.kinds = faults.stream().filter(EVENTS::contains).sorted().toList();
        this.fleet = fleet;
        this.network = network;
        this.transport = transport;
        this.random = random;
        List<String> names = new ArrayList<>(fleet.workerNames());
        Collections.shuffle(names, random);
        this.faultyWorkers = names.subList(0, FAULTY_WORKERS);
    }

    /** Draws the faults of the run and schedules them. */
    void drawFaults() {
        if (kinds.isEmpty()) {
            return;
        }
        int number = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < number; i++) {
            Fault fault = kinds.get(random.nextInt(kinds.size()));
            boolean isInTransit = random.nextDouble() < IN_TRANSIT_SHARE;
            network.after(
                    random.nextInt((int) LAST_FAULT_MICROS),
                    isInTransit
                            ? () -> inTransitFaults.addLast(fault)
                            : () -> injectAnywhere(fault));
        }
    }

    /**
     * Called when the last byte of an attempt was written. Schedules a pending fault so that it
     * occurs while the attempt may be in transit.
     */
    void attemptWritten(SentAttempt attempt) {
        Fault next = inTransitFaults.peekFirst();
        boolean concernsWorker = next == Fault.LINK_SILENT || next == Fault.WORKER_HANGS;
        if (next != null && (!concernsWorker || faultyWorkers.contains(attempt.worker))) {
            inTransitFaults.pollFirst();
            network.after(
                    random.nextInt((int) MAX_TRANSIT_MICROS),
                    () -> inject(next, attempt.worker, attempt.connection));
        }
    }

    private void injectAnywhere(Fault fault) {
        String worker = faultyWorkers.get(random.nextInt(faultyWorkers.size()));
        List<Connection> connections = transport.attemptConnections();
        if (connections.isEmpty()) {
            connections = network.openConnections();
        }
        if (!connections.isEmpty()) {
            inject(fault, worker, connections.get(random.nextInt(connections.size())));
        }
    }

    private void inject(Fault fault, String worker, Connection connection) {
        long duration = FAULT_MILLIS[random.nextInt(FAULT_MILLIS.length)] * MILLI;
        boolean resetAtEnd = random.nextBoolean();
        String durationSuffix = " for " + duration / MILLI + " ms";
        String resetSuffix = resetAtEnd ? ", then is reset" : "";
        switch (fault) {
            case LINK_SILENT -> {
                network.silenceLink(worker, network.now() + duration, resetAtEnd);
                fleet.noteFault(
                        "the link of "
                                + worker
                                + " stops passing data"
                                + durationSuffix
                                + resetSuffix);
            }
            case WORKER_HANGS -> {
                fleet.worker(worker).hang(duration);
                fleet.noteFault(worker + " hangs" + durationSuffix);
            }
            case CONNECTION_SILENT -> {
                boolean permanent = random.nextDouble() < PERMANENT_SHARE;
                long until = permanent ? FaultyNetwork.NEVER : network.now() + duration;
                connection.silence(until, resetAtEnd);
                String durationText = permanent ? " permanently" : durationSuffix + resetSuffix;
                fleet.noteFault(
                        "connection " + connection.number + " stops passing data" + durationText);
            }
            case CONNECTION_RESET -> {
                connection.reset();
                fleet.noteFault("connection " + connection.number + " is reset");
            }
            default ->
                    throw new IllegalStateException(
                            "not a fault that occurs at a point in time: " + fault);
        }
    }
}

package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.core.request.RequestTruth.SentAttempt;

/** Draws the faults of one simulation run of a {@link FaultyFleet} and injects them. */
final class FaultSchedule {
    private static final long MILLI = 1000;
    private static final long LAST_FAULT_MICROS = 2500 * MILLI;
    private static final int MAX_FAULTS = 4;

    /**
     * Number of workers that may become unreachable or hang in one run; the others can always be
     * called.
     */
    private static final int TROUBLED_WORKERS = 2;

    /** Share of the faults that are injected while an attempt is in transit. */
    private static final double AIMED_SHARE = 0.5;

    private static final long LONGEST_WAY_MICROS = 10 * MILLI;
    private static final long[] FAULT_MILLIS = {50, 150, 300, 600, 1200, 2500, 6000};
    private static final double FOR_EVER_SHARE = 0.3;

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
        PREFILLS_GO_ON,
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
    private final List<String> troubled;

    /** Faults to be injected when the next attempt has been written. */
    private final ArrayDeque<Fault> aimed = new ArrayDeque<>();

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
        this.troubled = names.subList(0, TROUBLED_WORKERS);
    }

    /** Draws the faults of the run and schedules them. */
    void draw() {
        if (kinds.isEmpty()) {
            return;
        }
        int number = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < number; i++) {
            Fault fault = kinds.get(random.nextInt(kinds.size()));
            boolean isAimed = random.nextDouble() < AIMED_SHARE;
            network.after(
                    random.nextInt((int) LAST_FAULT_MICROS),
                    isAimed ? () -> aimed.addLast(fault) : () -> happenAnywhere(fault));
        }
    }

    /**
     * Called when the last byte of an attempt was written. Schedules a pending fault so that it
     * occurs while the attempt may be in transit.
     */
    void attemptWritten(SentAttempt attempt) {
        Fault next = aimed.peekFirst();
        boolean ofWorker = next == Fault.LINK_SILENT || next == Fault.WORKER_HANGS;
        if (next != null && (!ofWorker || troubled.contains(attempt.worker))) {
            aimed.pollFirst();
            network.after(
                    random.nextInt((int) LONGEST_WAY_MICROS),
                    () -> happen(next, attempt.worker, attempt.connection));
        }
    }

    private void happenAnywhere(Fault fault) {
        String worker = troubled.get(random.nextInt(troubled.size()));
        List<Connection> connections = transport.attemptConnections();
        if (connections.isEmpty()) {
            connections = network.openConnections();
        }
        if (!connections.isEmpty()) {
            happen(fault, worker, connections.get(random.nextInt(connections.size())));
        }
    }

    private void happen(Fault fault, String worker, Connection connection) {
        long duration = FAULT_MILLIS[random.nextInt(FAULT_MILLIS.length)] * MILLI;
        boolean resetAtEnd = random.nextBoolean();
        String length = " for " + duration / MILLI + " ms";
        String end = resetAtEnd ? ", then is reset" : "";
        switch (fault) {
            case LINK_SILENT -> {
                network.silenceLink(worker, network.now() + duration, resetAtEnd);
                fleet.noteFault("the link of " + worker + " stops passing data" + length + end);
            }
            case WORKER_HANGS -> {
                fleet.worker(worker).hang(duration);
                fleet.noteFault(worker + " hangs" + length);
            }
            case CONNECTION_SILENT -> {
                boolean forEver = random.nextDouble() < FOR_EVER_SHARE;
                long until = forEver ? FaultyNetwork.NEVER : network.now() + duration;
                connection.silence(until, resetAtEnd);
                String lasting = forEver ? " permanently" : length + end;
                fleet.noteFault(
                        "connection " + connection.number + " stops passing data" + lasting);
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

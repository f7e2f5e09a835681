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

/** Draws the faults of one play of a {@link FaultyFleet}, and has them happen. */
final class FaultSchedule {
    private static final long MILLI = 1000;
    private static final long LAST_FAULT_MICROS = 2500 * MILLI;
    private static final int MAX_FAULTS = 4;

    /** Workers that may be cut off or hang in one play: others can always be asked. */
    private static final int TROUBLED_WORKERS = 2;

    /** Faults that happen while an attempt is on its way. */
    private static final double AIMED_SHARE = 0.5;

    private static final long LONGEST_WAY_MICROS = 10 * MILLI;
    private static final long[] FAULT_MILLIS = {50, 150, 300, 600, 1200, 2500, 6000};
    private static final double FOR_EVER_SHARE = 0.3;

    /** What may go wrong, beside clients that leave and workers that drop or refuse attempts. */
    enum Fault {
        CONNECTION_SILENT,
        LINK_SILENT,
        WORKER_HANGS,
        CONNECTION_RESET,
        /** Workers go on with a prefill though they know that its connection has ended. */
        PREFILLS_GO_ON,
        /** Planted, to see that the judge sees it: releases are answered and let go of nothing. */
        RELEASES_DO_NOTHING
    }

    /** Those that happen at a time; the others hold for the whole play. */
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

    /** Faults that wait for an attempt to be written. */
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

    /** Draws what happens when. */
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

    /** An attempt's last byte was written: a fault may happen while it is on its way. */
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
                fleet.noteFault("the link of " + worker + " falls silent" + length + end);
            }
            case WORKER_HANGS -> {
                fleet.worker(worker).hang(duration);
                fleet.noteFault(worker + " hangs" + length);
            }
            case CONNECTION_SILENT -> {
                boolean forEver = random.nextDouble() < FOR_EVER_SHARE;
                long until = forEver ? FaultyNetwork.NEVER : network.now() + duration;
                connection.silence(until, resetAtEnd);
                String lasting = forEver ? " for ever" : length + end;
                fleet.noteFault("connection " + connection.number + " falls silent" + lasting);
            }
            case CONNECTION_RESET -> {
                connection.reset();
                fleet.noteFault("connection " + connection.number + " is reset");
            }
            default -> throw new IllegalStateException("nothing that happens: " + fault);
        }
    }
}

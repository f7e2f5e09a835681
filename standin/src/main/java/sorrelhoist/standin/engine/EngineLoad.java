package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.LoadReport;

/** The memory and the requests of an engine, summed over their owners. */
final class EngineLoad {
    private final EngineSettings settings;
    private final WorkQueue queue;
    private final PrefillStateStore states;
    private final SlotReservations reservations;

    EngineLoad(
            EngineSettings settings,
            WorkQueue queue,
            PrefillStateStore states,
            SlotReservations reservations) {
        this.settings = settings;
        this.queue = queue;
        this.states = states;
        this.reservations = reservations;
    }

    /** {@return the memory in use or reserved, in tokens} */
    long memoryTokens() {
        return queue.memoryTokens() + states.tokens() + reservations.tokens();
    }

    /** {@return whether so many tokens more fit into the memory} */
    boolean fits(long tokens) {
        return memoryTokens() + tokens <= settings.memoryTokens();
    }

    /** {@return the load as it is told to routers} */
    LoadReport report() {
        int inFlight =
                queue.prefillCount()
                        + queue.runningDecodeCount()
                        + queue.waitingDecodeCount()
                        + states.size();
        return new LoadReport(
                Math.min(1, memoryTokens() / (double) settings.memoryTokens()),
                queue.queuedTokens(),
                inFlight,
                queue.queuedRequests());
    }
}

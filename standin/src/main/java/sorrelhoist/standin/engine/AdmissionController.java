package sorrelhoist.standin.engine;

import sorrelhoist.standin.TraceWriter;

/** Decides whether an engine takes one more request. */
final class AdmissionController {
    private final EngineSettings settings;
    private final EngineLoad load;
    private final ColdStartGuard coldStart;
    private final InjectedFaults faults;
    private final Runnable overloadedCold;

    /**
     * Creates a controller.
     *
     * @param settings slots, queue and memory
     * @param load what is in use
     * @param coldStart counts what is sent while the engine is cold
     * @param faults whether it drains
     * @param overloadedCold run when a cold engine is sent more than it survives
     */
    AdmissionController(
            EngineSettings settings,
            EngineLoad load,
            ColdStartGuard coldStart,
            InjectedFaults faults,
            Runnable overloadedCold) {
        this.settings = settings;
        this.load = load;
        this.coldStart = coldStart;
        this.faults = faults;
        this.overloadedCold = overloadedCold;
    }

    /**
     * Counts one more request and checks it.
     *
     * @param requests requests of its kind that the engine already has, waiting ones included
     * @param promptTokens tokens of its prompt
     * @return why it is rejected, or null if it is admitted
     */
    String rejectionReason(int requests, int promptTokens) {
        if (coldStart.countRequest(TraceWriter.nowMicros())) {
            overloadedCold.run();
        }
        if (faults.isDraining()) {
            return "draining";
        }
        if (requests >= settings.slots() + settings.queue()) {
            return "slots and queue are full";
        }
        // Each place in the queue may wait with a prompt of this size outside of the memory.
        long queueTokens = (long) settings.queue() * promptTokens;
        return load.fits(promptTokens - queueTokens) ? null : "memory is full";
    }
}

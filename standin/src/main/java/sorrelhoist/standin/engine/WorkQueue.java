package sorrelhoist.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** The jobs of an engine in order of arrival: prefills, running decodes and waiting decodes. */
final class WorkQueue {
    private final int slots;
    private final List<PrefillJob> prefills = new ArrayList<>();
    private final List<DecodeJob> runningDecodes = new ArrayList<>();
    private final List<DecodeJob> waitingDecodes = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param slots prefills that progress at once, and likewise decodes
     */
    WorkQueue(int slots) {
        this.slots = slots;
    }

    boolean isEmpty() {
        return prefills.isEmpty() && runningDecodes.isEmpty() && waitingDecodes.isEmpty();
    }

    void add(PrefillJob job) {
        prefills.add(job);
    }

    /** {@return whether the job was still there} */
    boolean remove(PrefillJob job) {
        return prefills.remove(job);
    }

    void add(DecodeJob job) {
        waitingDecodes.add(job);
    }

    /** {@return whether the job was still there, waiting or running} */
    boolean remove(DecodeJob job) {
        return waitingDecodes.remove(job) || runningDecodes.remove(job);
    }

    /** {@return a copy of the prefills that have a slot} */
    List<PrefillJob> activePrefills() {
        return List.copyOf(prefills.subList(0, Math.min(prefills.size(), slots)));
    }

    /** {@return a copy of the decodes that have a slot} */
    List<DecodeJob> runningDecodes() {
        return List.copyOf(runningDecodes);
    }

    boolean isRunning(DecodeJob job) {
        return runningDecodes.contains(job);
    }

    /** {@return the decode that is to get the next slot, or null if none waits or none is free} */
    DecodeJob nextWaiting() {
        boolean slotFree = runningDecodes.size() < slots;
        return slotFree && !waitingDecodes.isEmpty() ? waitingDecodes.get(0) : null;
    }

    /** Gives the decode of {@link #nextWaiting} its slot. */
    void startNextWaiting() {
        runningDecodes.add(waitingDecodes.remove(0));
    }

    int prefillCount() {
        return prefills.size();
    }

    int runningDecodeCount() {
        return runningDecodes.size();
    }

    int waitingDecodeCount() {
        return waitingDecodes.size();
    }

    /** {@return requests that wait for a slot} */
    long queuedRequests() {
        return (long) waitingDecodes.size() + Math.max(0, prefills.size() - slots);
    }

    /** {@return prompt tokens that are still to be prefilled or fetched} */
    long queuedTokens() {
        return prefills.stream().mapToLong(PrefillJob::remainingTokens).sum()
                + waitingDecodes.stream().mapToLong(job -> job.request().promptTokens()).sum();
    }

    /** {@return the memory that prefills and running decodes take, in tokens} */
    long memoryTokens() {
        return prefills.stream().mapToLong(job -> job.request().promptTokens()).sum()
                + runningDecodes.stream().mapToLong(DecodeJob::memoryTokens).sum();
    }
}

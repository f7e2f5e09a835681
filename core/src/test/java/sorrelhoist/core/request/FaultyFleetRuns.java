package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sorrelhoist.core.request.FaultSchedule.Fault;
import sorrelhoist.core.request.FaultyFleet.Cause;
import sorrelhoist.core.request.FaultyFleet.LateState;

/**
 * Runs simulations of a {@link FaultyFleet} with consecutive seeds and collects the states that
 * were held for too long. To run other seeds and to print the traces of failed runs: {@code
 * -Dnetwork.firstSeed=7 -Dnetwork.seeds=1 -Dnetwork.traces=9}.
 */
final class FaultyFleetRuns {
    /** Number of simulation runs per test. */
    static final int SEEDS = Integer.getInteger("network.seeds", 2000);

    private static final long FIRST_SEED = Long.getLong("network.firstSeed", 1);
    private static final int PRINTED_TRACES = Integer.getInteger("network.traces", 0);
    private static final int PRINTED_SEEDS = 20;
    private static final long MICROS_PER_MILLI = 1000;

    /** Late states by seed; contains only the seeds of failed runs. */
    private final Map<Long, List<LateState>> lateBySeed = new TreeMap<>();

    private int requests;
    private int served;
    private int prefills;
    private int decodesWithoutState;
    private int releases;

    private FaultyFleetRuns() {}

    /** Runs the simulation with {@code seeds} seeds and prints the failed seeds by cause. */
    static FaultyFleetRuns run(Set<Fault> faults, int seeds) {
        FaultyFleetRuns runs = new FaultyFleetRuns();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
            FaultyFleet fleet = new FaultyFleet(seed, faults);
            List<LateState> late = fleet.run();
            fleet.requests().forEach(runs::count);
            if (!late.isEmpty()) {
                runs.lateBySeed.put(seed, late);
            }
        }
        System.out.println(
                faults + ": " + runs.failedSeeds().size() + " of " + seeds + " seeds failed");
        runs.printCosts();
        runs.printCauses();
        runs.printTraces();
        return runs;
    }

    /** {@return the seeds of the runs in which a state was late} */
    List<Long> failedSeeds() {
        return List.copyOf(lateBySeed.keySet());
    }

    /** {@return the seeds of the runs in which a state was late for the given cause} */
    List<Long> failedSeedsBy(Cause cause) {
        return lateBySeed.entrySet().stream()
                .filter(entry -> entry.getValue().stream().anyMatch(late -> late.cause == cause))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void count(ActualRequestState request) {
        requests++;
        served += request.served ? 1 : 0;
        prefills += (int) request.attempts.stream().filter(a -> a.prefill && a.arrived).count();
        decodesWithoutState += request.decodesWithoutState;
        releases += request.releases;
    }

    /**
     * Prints figures that show the cost of a change to the release logic, in addition to the
     * failures.
     */
    private void printCosts() {
        System.out.println(
                requests
                        + " requests, "
                        + served
                        + " served, "
                        + prefills
                        + " prefills, "
                        + decodesWithoutState
                        + " decodes without a state to fetch, "
                        + releases
                        + " releases");
    }

    private void printCauses() {
        Map<String, List<Long>> seedsByCause = new TreeMap<>();
        lateBySeed.forEach(
                (seed, states) ->
                        states.forEach(
                                late ->
                                        seedsByCause
                                                .computeIfAbsent(
                                                        describe(late), any -> new ArrayList<>())
                                                .add(seed)));
        seedsByCause.forEach(
                (cause, seeds) -> {
                    List<Long> first = seeds.stream().limit(PRINTED_SEEDS).toList();
                    System.out.println(seeds.size() + " " + cause + ", seeds " + first);
                });
    }

    private static String describe(LateState late) {
        return late.cause + " (" + late.detail + ")";
    }

    private void printTraces() {
        lateBySeed.values().stream()
                .flatMap(List::stream)
                .limit(PRINTED_TRACES)
                .forEach(
                        late -> {
                            long heldMillis = late.heldMicros / MICROS_PER_MILLI;
                            System.out.println("held " + heldMillis + " ms: " + describe(late));
                            System.out.println(late.request.trace());
                        });
    }
}

package sorrelhoist.lab.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * One run of the soak.
 *
 * @param seed of all choices
 * @param seconds how long traffic comes
 * @param routers how many router processes
 * @param workers how many stand-in workers, half of them readers
 * @param faults what happens
 * @param command starts one router in the foreground
 * @param folder for configurations and logs
 * @param library of system-call faults, or null
 * @param requestsPerSecond of all clients
 */
public record SoakPlan(
        long seed,
        int seconds,
        int routers,
        int workers,
        List<ScheduledFault> faults,
        List<String> command,
        Path folder,
        Path library,
        double requestsPerSecond) {
    /** {@return the same run with other faults, its files in another folder} */
    public SoakPlan with(List<ScheduledFault> others, Path otherFolder) {
        return new SoakPlan(
                seed,
                seconds,
                routers,
                workers,
                others,
                command,
                otherFolder,
                library,
                requestsPerSecond);
    }
}

package sorrelhoist.lab.soak;

import java.util.List;

/**
 * What a run found.
 *
 * @param requests that clients sent
 * @param faultCount that were played
 * @param violations that the oracle saw
 * @param crashedProcesses processes that ended by themselves, or not with status 0 after SIGTERM
 * @param excused violations not counted, as the harness was late just then
 * @param guardViolations lines in which routers reported a violated invariant of their own
 * @param served requests answered with a complete stream
 */
public record SoakResult(
        long requests,
        int faultCount,
        List<Violation> violations,
        int crashedProcesses,
        int excused,
        List<String> guardViolations,
        long served) {
    /** {@return whether nothing was broken, by the oracle's word or the routers' own} */
    public boolean passed() {
        return violations.isEmpty() && crashedProcesses == 0 && guardViolations.isEmpty();
    }

    /** {@return the last line of a run} */
    public String summary() {
        return "soak: "
                + requests
                + " requests, "
                + faultCount
                + " faults, "
                + (violations.size() + guardViolations.size())
                + " violations, "
                + crashedProcesses
                + " processes crashed";
    }
}

package sorrelhoist.standin.engine;

/**
 * A stand-in engine. Times in microseconds.
 *
 * @param id its name, the same after a restart
 * @param kind its kind's name
 * @param role read, write or both
 * @param zone its zone
 * @param rack its rack
 * @param port to listen on; 0 for one that the system picks
 * @param registry the registry's address, or empty for none
 * @param renewMicros between heartbeats
 * @param leaseMicros after which the registry lets it expire
 * @param slots requests at once
 * @param queue requests that may wait
 * @param memoryTokens memory for states and answers, in tokens
 * @param keptTokens further memory for kept beginnings, in tokens
 * @param readPerSecond prompt tokens a second
 * @param stepMicros a step's time, without what it reads and writes
 * @param perAnswerMicros added to a step for each answer that runs
 * @param chunkTokens prompt tokens read in one step at most
 * @param moveTokensPerSecond rate at which a state comes from the same rack
 * @param farTokensPerSecond rate at which it comes from another
 * @param readsItself whether a writer without a state reads the prompt
 * @param warm whether it has been warmed up before it serves: it then says that it started an hour
 *     ago
 * @param coldFrom share of its speed with which it starts otherwise
 * @param coldMicros until it is warm
 * @param fallMultiple sent more than this multiple of what it can do
 * @param fallMicros for this long, it falls over while cold
 * @param warmSendsPerSecond what it can do when warm, in sends a second, as the fall is counted
 * @param stateLimitMicros after which a state that nobody took is freed
 * @param trace file for what it sees; empty for none
 * @param seed of its randomness
 */
public record EngineSettings(
        String id,
        String kind,
        String role,
        String zone,
        String rack,
        int port,
        String registry,
        long renewMicros,
        long leaseMicros,
        int slots,
        int queue,
        long memoryTokens,
        long keptTokens,
        double readPerSecond,
        long stepMicros,
        long perAnswerMicros,
        int chunkTokens,
        double moveTokensPerSecond,
        double farTokensPerSecond,
        boolean readsItself,
        boolean warm,
        double coldFrom,
        long coldMicros,
        double fallMultiple,
        long fallMicros,
        double warmSendsPerSecond,
        long stateLimitMicros,
        String trace,
        long seed) {
    boolean reads() {
        return !role.equals("write");
    }

    boolean writes() {
        return !role.equals("read");
    }
}

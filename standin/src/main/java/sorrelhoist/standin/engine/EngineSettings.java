package sorrelhoist.standin.engine;

/**
 * The configuration of a stand-in engine. The components' names are keys of its settings file.
 *
 * @param id its name, the same after a restart
 * @param kind the name of its kind
 * @param role read (prefill), write (decode) or both
 * @param zone its zone
 * @param rack its rack
 * @param port port to listen on; 0 for one that the system picks
 * @param registry the registry's address, or empty for none
 * @param renewMicros microseconds between renewals of its lease
 * @param leaseMicros microseconds after which the registry lets the lease expire
 * @param slots prefills at once, and likewise decodes
 * @param queue requests that may wait
 * @param memoryTokens memory for prefill states and answers, in tokens
 * @param keptTokens further memory for cached prompt prefixes, in tokens
 * @param readPerSecond prompt tokens that it prefills a second
 * @param stepMicros microseconds of a step, without what it prefills and decodes
 * @param perAnswerMicros microseconds that each decode adds to a step
 * @param chunkTokens most prompt tokens that are prefilled in one step
 * @param moveTokensPerSecond tokens a second at which a state is fetched in the same rack
 * @param farTokensPerSecond tokens a second at which a state is fetched from another rack
 * @param readsItself whether it prefills the prompt of a decode request that names no state
 * @param warm whether it is warm from the start; it then reports that it started an hour ago
 * @param coldFrom share of its speed with which it starts otherwise
 * @param coldMicros microseconds until it is warm
 * @param fallMultiple multiple of its capacity that makes it crash while it is cold
 * @param fallMicros microseconds over which the requests for that are counted
 * @param warmSendsPerSecond its capacity when warm, in requests a second; 0 for never to crash
 * @param stateLimitMicros microseconds after which a state that nobody fetched is freed
 * @param trace file for its trace; empty for none
 * @param seed seed of its random choices
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
    boolean servesPrefill() {
        return !role.equals("write");
    }

    boolean servesDecode() {
        return !role.equals("read");
    }

    /** {@return its rack's name together with its zone's} */
    String rackPath() {
        return zone + "/" + rack;
    }
}

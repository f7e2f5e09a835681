package sorrelhoist.routing;

import java.util.List;

/**
 * The knowledge that a router has learned from its own observations, as data, for the same router
 * after a restart or for another router. Ages are in microseconds before the export. It contains
 * nothing that a routing rule depends on: no endpoint list and no send limits of servers that are
 * warming up.
 *
 * @param keys prefixes and sessions, the least recently used first
 * @param servers health of each server
 * @param prefillTimes regressions of prefill times, by kind of server
 * @param firstTokenTimes regression of times to the first token
 */
public record Knowledge(
        List<PrefixEntry> keys,
        List<ServerHealth> servers,
        List<RegressionSums> prefillTimes,
        RegressionSums firstTokenTimes) {
    /**
     * An entry of the prefix table.
     *
     * @param name name of the session or prefix
     * @param ageMicros time since its last use, in microseconds
     * @param uses number of requests with it
     * @param holders servers that likely have it cached
     */
    public record PrefixEntry(String name, long ageMicros, int uses, List<PrefixHolder> holders) {}

    /**
     * A server that likely has a prefix cached.
     *
     * @param server the server's id
     * @param since start time of its process on the exporter's clock; another process has lost the
     *     cache
     * @param tokens number of cached tokens
     */
    public record PrefixHolder(String server, long since, long tokens) {}

    /**
     * A server's health.
     *
     * @param id the server's id
     * @param since start time of its process; the health does not apply to another process
     * @param failureRate share of recent attempts that failed, 0 to 1
     * @param latencyRatio ratio of recent times to expected times
     * @param latencySamples number of samples in the ratio
     */
    public record ServerHealth(
            String id, long since, double failureRate, double latencyRatio, int latencySamples) {
        boolean isValid() {
            return Double.isFinite(failureRate) && Double.isFinite(latencyRatio);
        }
    }

    /**
     * The sums of a decayed regression of times on tokens.
     *
     * @param weight decayed number of samples
     * @param tokens sum of tokens
     * @param micros sum of times, in microseconds
     * @param squaredTokens sum of squared tokens
     * @param tokensTimesMicros sum of the products of tokens and times
     */
    public record RegressionSums(
            double weight,
            double tokens,
            double micros,
            double squaredTokens,
            double tokensTimesMicros) {
        boolean isValid() {
            return weight >= 1
                    && Double.isFinite(tokens + micros + squaredTokens + tokensTimesMicros + weight)
                    && tokens >= 0
                    && micros > 0
                    && squaredTokens >= 0
                    && tokensTimesMicros >= 0;
        }
    }
}

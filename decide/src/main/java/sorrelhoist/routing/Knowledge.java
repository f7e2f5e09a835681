package sorrelhoist.routing;

import java.util.List;

/**
 * What a router has learnt from its own evidence, as data: for its own next incarnation, or for
 * another router. Ages are microseconds before the export. It holds nothing that a rule rests on:
 * no endpoint list, no bounds of servers that are warming up.
 *
 * @param keys prefixes and sessions, the least recently used first
 * @param servers health of each server
 * @param prefillTimes regression of prefill times, by kind of server
 * @param firstTokenTimes regression of times to the first token
 */
public record Knowledge(
        List<PrefixEntry> keys,
        List<ServerHealth> servers,
        List<RegressionSums> prefillTimes,
        RegressionSums firstTokenTimes) {
    /**
     * A key of the prefix table.
     *
     * @param name the session's or prefix's
     * @param ageMicros since it was last used
     * @param uses requests that began with it
     * @param holders servers that likely have it cached
     */
    public record PrefixEntry(String name, long ageMicros, int uses, List<PrefixHolder> holders) {}

    /**
     * A server that likely has a prefix cached.
     *
     * @param server its id
     * @param since when its process started, on the exporter's clock: another process has lost the
     *     cache
     * @param tokens cached
     */
    public record PrefixHolder(String server, long since, long tokens) {}

    /**
     * A server's health.
     *
     * @param id the server
     * @param since when its process started: another start has another health
     * @param failureRate share of recent failures, 0 to 1
     * @param latencyRatio recent times over the expected
     * @param latencySamples times that the ratio rests on
     */
    public record ServerHealth(
            String id, long since, double failureRate, double latencyRatio, int latencySamples) {
        boolean sound() {
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
     * @param tokensTimesMicros sum of products
     */
    public record RegressionSums(
            double weight,
            double tokens,
            double micros,
            double squaredTokens,
            double tokensTimesMicros) {
        boolean sound() {
            return weight >= 1
                    && Double.isFinite(tokens + micros + squaredTokens + tokensTimesMicros + weight)
                    && tokens >= 0
                    && micros > 0
                    && squaredTokens >= 0
                    && tokensTimesMicros >= 0;
        }
    }
}

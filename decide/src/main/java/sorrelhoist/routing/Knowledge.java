package sorrelhoist.routing;

import java.util.List;

/**
 * What a router knows that its own evidence taught it, as data: for its own next life, or for
 * another router. Ages are microseconds before the export. It holds nothing that a rule rests on:
 * no roster, no cold server's bounds.
 *
 * @param keys prefixes and sessions, the least recently used first
 * @param servers health and slowness
 * @param prefillTimes the line of read times, by kind of server
 * @param firstTokenTimes the line of times to first tokens
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
     * @param holders readers that likely keep it
     */
    public record PrefixEntry(String name, long ageMicros, int uses, List<PrefixHolder> holders) {}

    /**
     * A reader that likely keeps a key's tokens.
     *
     * @param server its id
     * @param since when its process started, on the exporter's clock: another start has lost the
     *     text
     * @param tokens kept
     */
    public record PrefixHolder(String server, long since, long tokens) {}

    /**
     * A server's health.
     *
     * @param id the server
     * @param since when its process started: another start has another health
     * @param failureRate share of recent failures, 0 to 1
     * @param latencyRatio times over the expected
     * @param latencySamples answers behind it
     */
    public record ServerHealth(
            String id, long since, double failureRate, double latencyRatio, int latencySamples) {
        boolean sound() {
            return Double.isFinite(failureRate) && Double.isFinite(latencyRatio);
        }
    }

    /**
     * A learnt line's sums.
     *
     * @param weight pairs, faded
     * @param tokens sum of tokens
     * @param micros sum of times
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

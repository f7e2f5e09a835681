package sorrelhoist;

import java.util.List;

/**
 * What a router knows that its own evidence taught it, as data: for its own next life, or for
 * another router. Ages are microseconds before the export. It holds nothing that a rule rests on:
 * no roster, no cold server's bounds.
 *
 * @param keys prefixes and sessions, the least recently used first
 * @param servers health and slowness
 * @param reads the line of read times, by kind of server
 * @param firstTokens the line of times to first tokens
 */
public record Knowledge(List<Key> keys, List<Health> servers, List<Sums> reads, Sums firstTokens) {
    /**
     * A key of the prefix table.
     *
     * @param name the session's or prefix's
     * @param age since it was last used
     * @param uses requests that began with it
     * @param holders readers that likely keep it
     */
    public record Key(String name, long age, int uses, List<Holding> holders) {}

    /**
     * A reader that likely keeps a key's tokens.
     *
     * @param server its id
     * @param since when its process started, on the exporter's clock: another start has lost the
     *     text
     * @param tokens kept
     */
    public record Holding(String server, long since, long tokens) {}

    /**
     * A server's health.
     *
     * @param id the server
     * @param since when its process started: another start has another health
     * @param bad share of recent failures, 0 to 1
     * @param slow times over the expected
     * @param heard answers behind it
     */
    public record Health(String id, long since, double bad, double slow, int heard) {
        boolean sound() {
            return Double.isFinite(bad) && Double.isFinite(slow);
        }
    }

    /**
     * A learnt line's sums.
     *
     * @param n pairs, faded
     * @param x sum of tokens
     * @param y sum of times
     * @param xx sum of squared tokens
     * @param xy sum of products
     */
    public record Sums(double n, double x, double y, double xx, double xy) {
        boolean sound() {
            return n >= 1
                    && Double.isFinite(x + y + xx + xy + n)
                    && x >= 0
                    && y > 0
                    && xx >= 0
                    && xy >= 0;
        }
    }
}

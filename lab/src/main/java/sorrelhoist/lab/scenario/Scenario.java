package sorrelhoist.lab.scenario;

import java.util.List;

/**
 * A scripted day. Times in microseconds from its start.
 *
 * @param name its name
 * @param seed of everything random in it
 * @param length of its load
 * @param zones its fleet
 * @param loads its load, by class
 * @param actions what happens, by time
 */
public record Scenario(
        String name,
        long seed,
        long length,
        List<Zone> zones,
        List<Load> loads,
        List<ScheduledAction> actions) {
    /**
     * A zone.
     *
     * @param name its name
     * @param edges its edges
     * @param racks its racks
     */
    public record Zone(String name, int edges, List<Rack> racks) {}

    /**
     * A rack.
     *
     * @param name its name
     * @param readers engines that read
     * @param writers engines that write
     */
    public record Rack(String name, int readers, int writers) {}

    /**
     * Requests of one class.
     *
     * @param requestClass the class's name
     * @param rate requests a second
     * @param promptLow tokens of the shortest prompt, shared beginning not counted
     * @param promptHigh tokens of the longest
     * @param answerLow most tokens asked for, at least
     * @param answerHigh at most
     * @param sessions conversations that take turns
     * @param prefixes shared beginnings
     * @param prefixTokens tokens of each
     * @param timeout until clients give up
     * @param cancels share of clients that leave early
     */
    public record Load(
            String requestClass,
            double rate,
            int promptLow,
            int promptHigh,
            int answerLow,
            int answerHigh,
            int sessions,
            int prefixes,
            int prefixTokens,
            long timeout,
            double cancels) {}

    /**
     * Something that happens.
     *
     * @param at when
     * @param action what: a command for its targets
     * @param target whom: reader, writer, engine, rack, edge, planner, registry or load
     * @param selector which: a number from 1, a rack's name, any or every
     * @param amount factor or share
     * @param duration how long; 0 for ever
     * @param line where the file says so
     */
    public record ScheduledAction(
            long at,
            String action,
            String target,
            String selector,
            double amount,
            long duration,
            int line) {}
}

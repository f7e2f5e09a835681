package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;

/**
 * One fault of a schedule.
 *
 * @param kind what happens
 * @param atMillis when, from the start of the traffic
 * @param lastsMillis for how long, where it lasts
 * @param seed of its own choices, such as which router or worker it befalls
 */
public record ScheduledFault(Kind kind, long atMillis, long lastsMillis, long seed) {
    private static final long FIRST_MILLIS = 1500;
    private static final long QUIET_END_MILLIS = 6000;
    private static final long LONGEST_MILLIS = 6000;
    private static final int MEAN_GAP_MILLIS = 1100;

    /** What can happen. */
    public enum Kind {
        ROUTER_TERM,
        ROUTER_KILL,
        ROUTER_PAUSE,
        ROUTER_RELOAD,
        ROUTER_RELOAD_TWICE,
        DISCOVERY_SILENT,
        DISCOVERY_DOWN,
        DISCOVERY_RENUMBERED,
        DISCOVERY_SLOW,
        WATCHES_MUTED,
        WORKER_KILLED,
        WORKER_HANGS,
        WORKER_DRAINS,
        WORKER_MISBEHAVES,
        LINK_SILENT,
        LINK_RESET,
        CLIENTS_IDLE_CROWD,
        CLIENTS_BAD_CROWD,
        CLIENTS_BURST,
        CLIENTS_LARGE,
        SYSTEM_CALLS_FAIL,
        WALL_CLOCK_STEPS,
        CONNECTIONS_SILENT,
        ROUTER_TERM_SERIES,
        CONNECTIONS_LATE;

        /** {@return whether it needs the library of system-call faults} */
        public boolean needsLibrary() {
            return this == SYSTEM_CALLS_FAIL || this == WALL_CLOCK_STEPS;
        }

        /** Reads a list of names; "all" is all of them. */
        public static Set<Kind> parse(Collection<String> names) {
            Set<Kind> kinds = EnumSet.noneOf(Kind.class);
            for (String name : names) {
                if (name.equals("all")) {
                    return EnumSet.allOf(Kind.class);
                }
                kinds.add(valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')));
            }
            return kinds;
        }
    }

    /** Draws a schedule: the same seed and kinds give the same one. Faults overlap. */
    public static List<ScheduledFault> generateSchedule(long seed, long seconds, Set<Kind> kinds) {
        Random random = new Random(seed);
        List<Kind> from = List.copyOf(EnumSet.copyOf(kinds));
        List<ScheduledFault> faults = new ArrayList<>();
        long end = 1000 * seconds - QUIET_END_MILLIS;
        for (long at = FIRST_MILLIS; at < end; at += random.nextInt(2 * MEAN_GAP_MILLIS)) {
            Kind kind = from.get(random.nextInt(from.size()));
            faults.add(
                    new ScheduledFault(
                            kind,
                            at,
                            300 + random.nextInt((int) LONGEST_MILLIS),
                            random.nextLong()));
        }
        faults.sort(Comparator.comparingLong(ScheduledFault::atMillis));
        return faults;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s at %.1f s for %.1f s (%x)",
                kind,
                atMillis / 1e3,
                lastsMillis / 1e3,
                seed);
    }
}

package sorrelhoist;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.Routing.Role;
import sorrelhoist.Routing.Rules;
import sorrelhoist.Routing.Settings;
import sorrelhoist.State.Peer;

/**
 * Slow start: how much a server that has just started may be sent, and which of them have.
 *
 * <p>A told start is another machine's wall clock at another moment, and either clock may have been stepped
 * since. Told starts are therefore compared only for being equal: another one is another process. A process
 * that this router hears of while it runs counts as started when it hears of it, which is never too early.
 * The told age is used in the first list alone, where there is nothing else to go by; a start that lies ahead
 * counts as now. Steps so cost at most one cold time of service, and no server is held cold for longer.
 *
 * <p>Risk: a router that starts with a clock that runs ahead by more than the cold time takes servers that
 * started just before it for warm.
 */
final class SlowStart {
    private static final long LONG_AGO = Long.MIN_VALUE;
    private static final int MOST_REMEMBERED = 8192; // servers, also such as left: one may be seen again
    private static final int SERVED_WINDOWS = 4; // of the rule, over which what was served is counted
    private static final double SAFETY = 0.8; // of what the rule would bear: others' sends are unseen
    private static final double TURNS = 0.5; // a router's turns at a cold server, knowing nothing
    private static final double UNEVEN = 2; // multiple of the mean that one server may get

    private final Map<String, Start> starts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };
    private final double[] mostServed = new double[Role.values().length];
    private boolean listed;

    /** What was told of a server's start, and when that was on this router's clock. */
    private record Start(long told, long at) {
    }

    /**
     * Hears of a server.
     *
     * @param id whose
     * @param told its start as it was told; 0 or less for long ago
     * @param now this router's clock
     * @return whether this is another process than the one known before; false for a server not known before
     */
    boolean hear(String id, long told, long now) {
        Start before = starts.get(id);
        if (before != null && before.told() == told) {
            return false;
        }
        long at = told <= 0 ? LONG_AGO : listed ? now : Math.min(told, now);
        starts.put(id, new Start(told, at));
        return before != null;
    }

    /** A list of discovery's own was heard, not one handed down from before this router's start. */
    void listed() {
        listed = true;
    }

    private boolean isWarm(Peer p, long now, long coldMicros) {
        Start start = starts.get(p.id);
        return start == null || start.at() == LONG_AGO || now - start.at() >= coldMicros;
    }

    /**
     * Counts what the servers of a role have served: the most is what a warm one can do at least.
     *
     * @param role the servers'
     * @param servers of that role that take work
     * @param settings with the rules and the number of routers
     * @param now this router's clock
     * @param age for how long this router runs
     */
    void measure(Role role, List<Peer> servers, Settings settings, long now, long age) {
        long window = settings.rules().fallMicros();
        double served = servers.stream().mapToLong(p -> p.servedSince(now - SERVED_WINDOWS * window)).sum();
        double passed = Math.min(SERVED_WINDOWS, age / (double) window);
        double chance = 2 * Math.sqrt(served / settings.routers()); // evens out over the routers
        double sure = (served - chance) / Math.max(1, passed) / Math.max(1, servers.size());
        mostServed[role.ordinal()] = Math.max(mostServed[role.ordinal()], sure);
    }

    /**
     * Whether a server may be sent one more request. A cold server's capacity is not told. A warm one can do
     * at least the most that this router has had served by its role's servers in the mean, less what chance
     * adds to a small count. All routers granting that part of theirs, the sum stays under the rule's
     * multiple. A part under one is drawn for: in each window so many routers may send one that, at twice the
     * mean sends to a server of the role (placement lets loads lie no further apart), their sum is that of
     * the parts. Each draws for itself, so their windows need not begin together.
     *
     * @param p the server
     * @param role its role
     * @param settings with the rules, the number of routers and this one's
     * @param gap mean time between two requests that arrive here
     * @param alike how many servers of the role there are
     * @param now this router's clock
     */
    boolean allows(Peer p, Role role, Settings settings, double gap, int alike, long now) {
        Rules rules = settings.rules();
        if (isWarm(p, now, rules.coldMicros())) {
            return true;
        }
        double most = mostServed[role.ordinal()];
        double bearable = SAFETY * rules.fallMultiple() * rules.coldFrom() * most;
        if (bearable >= 1) {
            return p.sentSince(now - rules.fallMicros()) + 1 <= bearable;
        }
        double mean = Math.max(most, rules.fallMicros() / gap / alike);
        double share = Math.max(bearable / UNEVEN / mean, 1 / TURNS / settings.routers());
        long window = now / rules.fallMicros();
        double draw = (Hash.of(p.id + window, "" + settings.self()) >>> 11) * 0x1p-53;
        return draw < share && p.sentSince(window * rules.fallMicros() - 1) == 0;
    }
}

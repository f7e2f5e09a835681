package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Routing.Role;
import sorrelhoist.routing.Routing.RoutingSettings;
import sorrelhoist.routing.Routing.ServerLimits;
import sorrelhoist.routing.State.Peer;

/**
 * Slow start: how much a server that has just started may be sent. Starts are told on this router's
 * own clock; whoever tells them translates other machines' clocks.
 */
final class SlowStart {
    static final long LONG_AGO = Long.MIN_VALUE;
    private static final int SERVED_WINDOWS =
            4; // of the rule, over which what was served is counted
    private static final double SAFETY =
            0.8; // of what the rule would bear: others' sends are unseen
    private static final double TURNS = 0.5; // a router's turns at a cold server, knowing nothing
    private static final double UNEVEN = 2; // multiple of the mean that one server may get

    private final double[] mostServed = new double[Role.values().length];

    /**
     * A start that lies ahead counts as now: no server is held cold for longer than the rules say.
     */
    static long startedAt(long told, long now) {
        return told <= 0 ? LONG_AGO : Math.min(told, now);
    }

    private static boolean isWarm(Peer p, long now, long coldMicros) {
        return p.startedAt == LONG_AGO || now - p.startedAt >= coldMicros;
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
    void measure(Role role, List<Peer> servers, RoutingSettings settings, long now, long age) {
        long window = settings.serverLimits().overloadMicros();
        double served =
                servers.stream().mapToLong(p -> p.servedSince(now - SERVED_WINDOWS * window)).sum();
        double passed = Math.min(SERVED_WINDOWS, age / (double) window);
        double chance = 2 * Math.sqrt(served / settings.routers()); // evens out over the routers
        double sure = (served - chance) / Math.max(1, passed) / Math.max(1, servers.size());
        mostServed[role.ordinal()] = Math.max(mostServed[role.ordinal()], sure);
    }

    /**
     * Whether a server may be sent one more request. A cold server's capacity is not told. A warm
     * one can do at least the most that this router has had served by its role's servers in the
     * mean, less what chance adds to a small count. All routers granting that part of theirs, the
     * sum stays under the rule's multiple. A part under one is drawn for: in each window so many
     * routers may send one that, at twice the mean sends to a server of the role (placement lets
     * loads lie no further apart), their sum is that of the parts. Each draws for itself, so their
     * windows need not begin together.
     *
     * @param p the server
     * @param role its role
     * @param settings with the rules, the number of routers and this one's
     * @param gap mean time between two requests that arrive here
     * @param alike how many servers of the role there are
     * @param now this router's clock
     */
    boolean allows(Peer p, Role role, RoutingSettings settings, double gap, int alike, long now) {
        ServerLimits rules = settings.serverLimits();
        if (isWarm(p, now, rules.warmUpMicros())) {
            return true;
        }
        double most = mostServed[role.ordinal()];
        double bearable = SAFETY * rules.overloadMultiple() * rules.coldCapacityShare() * most;
        if (bearable >= 1) {
            return p.sentSince(now - rules.overloadMicros()) + 1 <= bearable;
        }
        double mean = Math.max(most, rules.overloadMicros() / gap / alike);
        double share = Math.max(bearable / UNEVEN / mean, 1 / TURNS / settings.routers());
        long window = now / rules.overloadMicros();
        double draw = (Hash.of(p.id + window, "" + settings.self()) >>> 11) * 0x1p-53;
        return draw < share && p.sentSince(window * rules.overloadMicros() - 1) == 0;
    }
}

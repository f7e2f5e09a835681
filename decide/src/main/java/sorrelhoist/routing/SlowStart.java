package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Slow start: how much an endpoint that is warming up may be sent. Starts are given on this
 * router's own clock; whoever gives them translates other machines' clocks.
 */
final class SlowStart {
    /** Start of a process that is warm already. */
    static final long LONG_AGO = Long.MIN_VALUE;

    /** Windows of the limits over which answers are counted. */
    private static final int ANSWER_WINDOWS = 4;

    /** Share used of what the limits allow: others' sends are unseen. */
    private static final double SAFETY = 0.8;

    /** A router's turns at a cold endpoint while nothing is known of capacities. */
    private static final double TURNS = 0.5;

    /** Multiple of the mean that one endpoint may get. */
    private static final double UNEVENNESS = 2;

    private static final int DRAW_SHIFT = 11;
    private static final double DRAW_UNIT = 0x1p-53;

    // By role: the most that one endpoint has answered within one window, in the mean of its role.
    private final double[] mostAnswered = new double[Role.values().length];

    /**
     * {@return the start; one that lies ahead is now: nothing is cold for longer than the limits
     * say}
     */
    static long startedAt(long since, long now) {
        return since <= 0 ? LONG_AGO : Math.min(since, now);
    }

    private static boolean isWarm(Endpoint endpoint, long now, long warmUpMicros) {
        return endpoint.startedAt == LONG_AGO || now - endpoint.startedAt >= warmUpMicros;
    }

    /**
     * Counts what the endpoints of a role have answered: the most is what a warm one can do at
     * least.
     *
     * @param role the endpoints'
     * @param endpoints of that role that serve
     * @param settings with the limits and the number of routers
     * @param now this router's clock, in microseconds
     * @param uptime for how long this router has been running, in microseconds
     */
    void measure(
            Role role, List<Endpoint> endpoints, RoutingSettings settings, long now, long uptime) {
        long window = settings.serverLimits().overloadMicros();
        long from = now - ANSWER_WINDOWS * window;
        double answered =
                endpoints.stream().mapToLong(endpoint -> endpoint.history.answersSince(from)).sum();
        double windows = Math.min(ANSWER_WINDOWS, uptime / (double) window);
        // Two standard deviations; it evens out over the routers.
        double chance = 2 * Math.sqrt(answered / settings.routers());
        double certain = (answered - chance) / Math.max(1, windows) / Math.max(1, endpoints.size());
        mostAnswered[role.ordinal()] = Math.max(mostAnswered[role.ordinal()], certain);
    }

    /**
     * Decides whether an endpoint may be sent one more request. A cold endpoint's capacity is not
     * known. A warm one can do at least the most that this router has had answered by its role's
     * endpoints in the mean, less what chance adds to a small count. All routers granting that part
     * of theirs, the sum stays under the limits' multiple. A part under one is drawn for: in each
     * window so many routers may send one that, at twice the mean sends to an endpoint of the role
     * (placement lets loads lie no further apart), their sum is that of the parts. Each draws for
     * itself, so their windows need not begin together.
     *
     * @param endpoint where to
     * @param role its role
     * @param settings with the limits, the number of routers and this one's
     * @param meanGapMicros mean time between two requests that arrive here
     * @param peers how many endpoints of the role there are
     * @param now this router's clock, in microseconds
     */
    boolean allows(
            Endpoint endpoint,
            Role role,
            RoutingSettings settings,
            double meanGapMicros,
            int peers,
            long now) {
        ServerLimits limits = settings.serverLimits();
        if (isWarm(endpoint, now, limits.warmUpMicros())) {
            return true;
        }
        double most = mostAnswered[role.ordinal()];
        double bearable = SAFETY * limits.overloadMultiple() * limits.coldCapacityShare() * most;
        if (bearable >= 1) {
            return endpoint.history.sentAfter(now - limits.overloadMicros()) + 1 <= bearable;
        }
        double mean = Math.max(most, limits.overloadMicros() / meanGapMicros / peers);
        double share = Math.max(bearable / UNEVENNESS / mean, 1 / TURNS / settings.routers());
        long window = now / limits.overloadMicros();
        double draw = draw(endpoint.id + window, settings.self());
        return draw < share
                && endpoint.history.sentAfter(window * limits.overloadMicros() - 1) == 0;
    }

    /** {@return a number from 0 to 1 that is the same for equal arguments} */
    private static double draw(String key, int router) {
        return (Hash.of(key, "" + router) >>> DRAW_SHIFT) * DRAW_UNIT;
    }
}

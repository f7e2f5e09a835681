package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Slow start: limits what is sent to an endpoint that is warming up. Start times are on this
 * router's own clock; the caller translates times of other machines' clocks.
 */
final class SlowStart {
    /** Start time of a process that is already warm. */
    static final long LONG_AGO = Long.MIN_VALUE;

    /** Number of overload windows over which answers are counted. */
    private static final int ANSWER_WINDOWS = 4;

    /** Share of the permitted sends that is used, as the sends of other routers are not visible. */
    private static final double SAFETY_SHARE = 0.8;

    /**
     * While no capacity is known, each router sends to a cold endpoint in one of {@code TURNS *
     * routers} windows on average, so about {@code 1 / TURNS} routers send in each window.
     */
    private static final double TURN_WINDOWS_PER_ROUTER = 0.5;

    /** Assumed maximum load of one endpoint, as a multiple of the mean load. */
    private static final double MAX_LOAD_IMBALANCE = 2;

    private static final int DRAW_SHIFT = 11;
    private static final double DRAW_UNIT = 0x1p-53;

    // By role: the highest number of answers per window so far, as a mean over the role's
    // endpoints.
    private final double[] maxAnswersPerWindow = new double[Role.values().length];

    /**
     * {@return the start time on this router's clock; a start in the future counts as now, so that
     * no endpoint stays cold for longer than the warm-up time}
     */
    static long startedAt(long since, long now) {
        return since <= 0 ? LONG_AGO : Math.min(since, now);
    }

    private static boolean isWarm(Endpoint endpoint, long now, long warmUpMicros) {
        return endpoint.startedAt == LONG_AGO || now - endpoint.startedAt >= warmUpMicros;
    }

    /**
     * Updates a role's capacity from the answers of its endpoints. The highest rate measured so far
     * is a lower bound of what a warm endpoint can do.
     *
     * @param role the endpoints' role
     * @param endpoints the serving endpoints of that role
     * @param settings provides the limits and the number of routers
     * @param now this router's clock, in microseconds
     * @param uptime time for which this router has been running, in microseconds
     */
    void measure(
            Role role, List<Endpoint> endpoints, RoutingSettings settings, long now, long uptime) {
        long window = settings.serverLimits().overloadMicros();
        long from = now - ANSWER_WINDOWS * window;
        double answered =
                endpoints.stream().mapToLong(endpoint -> endpoint.history.answersSince(from)).sum();
        double windows = Math.min(ANSWER_WINDOWS, uptime / (double) window);
        // Two standard deviations of the count are subtracted. They are divided by the root of the
        // number of routers, as the deviations of the single routers average out.
        double statisticalError = 2 * Math.sqrt(answered / settings.routers());
        double lowerBound =
                (answered - statisticalError)
                        / Math.max(1, windows)
                        / Math.max(1, endpoints.size());
        maxAnswersPerWindow[role.ordinal()] =
                Math.max(maxAnswersPerWindow[role.ordinal()], lowerBound);
    }

    /**
     * Decides whether one more request may be sent to an endpoint.
     *
     * <p>The capacity of a cold endpoint is not known. A warm one can do at least the highest mean
     * rate of answers that this router has had from endpoints of the role, less the statistical
     * error of a small count. Each router permits the share of its own rate that the limits allow
     * for a cold endpoint, so the sum over all routers stays below the overload multiple.
     *
     * <p>A share below one request per window is decided by a pseudo-random draw: in each window,
     * so many routers may send one request that these requests add up to the sum of the shares,
     * assuming that an endpoint gets up to twice the mean sends of its role (placement lets loads
     * differ by no more). Each router draws for itself, so the windows of different routers need
     * not be aligned.
     *
     * @param endpoint the endpoint
     * @param role the endpoint's role
     * @param settings provides the limits, the number of routers and this router's number
     * @param meanGapMicros mean time between two arrivals at this router, in microseconds
     * @param peers number of serving endpoints of the role
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
        double maxAnswers = maxAnswersPerWindow[role.ordinal()];
        double permittedSends =
                SAFETY_SHARE * limits.overloadMultiple() * limits.coldCapacityShare() * maxAnswers;
        if (permittedSends >= 1) {
            return endpoint.history.sentAfter(now - limits.overloadMicros()) + 1 <= permittedSends;
        }
        double mean = Math.max(maxAnswers, limits.overloadMicros() / meanGapMicros / peers);
        double share =
                Math.max(
                        permittedSends / MAX_LOAD_IMBALANCE / mean,
                        1 / TURN_WINDOWS_PER_ROUTER / settings.routers());
        long window = now / limits.overloadMicros();
        double draw = draw(endpoint.id + window, settings.self());
        return draw < share
                && endpoint.history.sentAfter(window * limits.overloadMicros() - 1) == 0;
    }

    /** {@return a deterministic pseudo-random number in [0, 1) for a key and a router} */
    private static double draw(String key, int router) {
        return (Hash.of(key, "" + router) >>> DRAW_SHIFT) * DRAW_UNIT;
    }
}

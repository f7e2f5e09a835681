package sorrelhoist.routing;

/**
 * Limits retries to prevent retry storms: each arrival adds a fraction of a retry, and the number
 * of saved retries is bounded.
 */
final class RetryBudget {
    private static final double RETRIES_PER_ARRIVAL = 0.3;

    /** Maximum number of saved retries, over all routers; each router may save at least one. */
    private static final double MAX_SAVED_RETRIES = 25;

    private final RoutingContext context;
    private double retries;

    RetryBudget(RoutingContext context) {
        this.context = context;
        this.retries = MAX_SAVED_RETRIES / context.settings().routers();
    }

    void recordArrival() {
        double maxRetries = Math.max(1, MAX_SAVED_RETRIES / context.settings().routers());
        retries = Math.min(maxRetries, retries + RETRIES_PER_ARRIVAL);
    }

    /** {@return the number of retries that are available now} */
    double available() {
        return retries;
    }

    boolean isExhausted() {
        return retries < 1;
    }

    void spend() {
        retries--;
    }
}

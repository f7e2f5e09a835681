package sorrelhoist.routing;

/** Bounds a retry storm: each arrival earns a part of a retry, and few can be saved up. */
final class RetryBudget {
    private static final double RETRIES_PER_ARRIVAL = 0.3;

    /** Retries that all routers together may save up. */
    private static final double MAX_SAVED = 25;

    private final RoutingContext context;
    private double retries;

    RetryBudget(RoutingContext context) {
        this.context = context;
        this.retries = MAX_SAVED / context.settings().routers();
    }

    void recordArrival() {
        double most = Math.max(1, MAX_SAVED / context.settings().routers());
        retries = Math.min(most, retries + RETRIES_PER_ARRIVAL);
    }

    /** {@return how many retries may be made now} */
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

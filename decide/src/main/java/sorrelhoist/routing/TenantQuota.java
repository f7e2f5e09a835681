package sorrelhoist.routing;

/**
 * Counts each tenant's requests against this router's part of its quota: a token bucket a tenant.
 */
final class TenantQuota {
    /** Seconds of its quota that a tenant may save up. */
    private static final double BURST_SECONDS = 2;

    /** Requests that a tenant may always save up: few come unevenly. */
    private static final double MIN_BURST = 4;

    private static final double MICROS_PER_SECOND = 1e6;

    private final RoutingContext context;
    private final double[] tokens;
    private final long[] refilledAt;

    TenantQuota(RoutingContext context) {
        this.context = context;
        int tenants = context.settings().tenants().size();
        this.tokens = new double[tenants];
        this.refilledAt = new long[tenants];
    }

    /** Takes one request off a tenant's quota; {@return whether it is beyond it} */
    boolean isExceededBy(int tenant) {
        if (tenant < 0 || tenant >= tokens.length) {
            return false;
        }
        refill(tenant);
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    private void refill(int tenant) {
        RoutingSettings settings = context.settings();
        long now = context.now();
        // Each router sees its part of a tenant's requests and grants that part of the quota.
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.routers();
        double burst = Math.max(MIN_BURST, BURST_SECONDS * rate);
        boolean first = refilledAt[tenant] == 0;
        double gained = first ? burst : rate * (now - refilledAt[tenant]) / MICROS_PER_SECOND;
        refilledAt[tenant] = now;
        tokens[tenant] = Math.min(burst, tokens[tenant] + gained);
    }
}

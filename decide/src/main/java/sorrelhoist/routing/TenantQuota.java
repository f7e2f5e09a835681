package sorrelhoist.routing;

/** Enforces this router's share of each tenant's quota with one token bucket per tenant. */
final class TenantQuota {
    /** Size of a bucket, in seconds of the quota. */
    private static final double BURST_SECONDS = 2;

    /** Minimum size of a bucket, in requests, as the requests of a small tenant arrive unevenly. */
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

    /**
     * Takes one request off a tenant's quota. Returns true, and takes nothing, if the quota is
     * exhausted.
     */
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
        // Each router gets a share of the tenant's requests and grants the same share of the quota.
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.routers();
        double burst = Math.max(MIN_BURST, BURST_SECONDS * rate);
        boolean first = refilledAt[tenant] == 0;
        double gained = first ? burst : rate * (now - refilledAt[tenant]) / MICROS_PER_SECOND;
        refilledAt[tenant] = now;
        tokens[tenant] = Math.min(burst, tokens[tenant] + gained);
    }
}

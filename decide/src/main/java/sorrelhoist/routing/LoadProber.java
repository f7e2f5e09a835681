package sorrelhoist.routing;

import java.util.Comparator;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;

/** Probes endpoints for their load within a budget and applies the results. */
final class LoadProber {
    /** Score points that probes may cost. */
    private static final double MAX_SCORE_COST = 0.0003;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private double budget;

    LoadProber(RoutingContext context, EndpointTable endpoints) {
        this.context = context;
        this.endpoints = endpoints;
    }

    /** Adds the share of one arriving request to the budget. */
    void recordArrival() {
        double cost = context.settings().capabilities().probeCost();
        budget = Math.min(1, budget + MAX_SCORE_COST / Math.max(MAX_SCORE_COST, cost));
    }

    /**
     * Probes the serving endpoint that was probed least recently, if the settings and the budget
     * permit it.
     */
    void probeIfDue() {
        RoutingSettings settings = context.settings();
        boolean useful = settings.loadReportMode() == LoadReportMode.IN_PROBES;
        if (budget >= 1 && settings.capabilities().probes() && useful) {
            endpoints.all().stream()
                    .filter(Endpoint::isServing)
                    .min(Comparator.comparingLong(endpoint -> endpoint.probedAt))
                    .ifPresent(this::probe);
        }
    }

    private void probe(Endpoint endpoint) {
        budget--;
        endpoint.probedAt = context.now();
        context.emit(new Probe(endpoint.id));
    }

    /** Applies the result of a probe. Ignores endpoints that are no longer known. */
    void recordAnswer(ProbeAnswered answer) {
        Endpoint endpoint = endpoints.byId(answer.server());
        if (endpoint != null) {
            endpoint.update(answer.report());
        }
    }
}

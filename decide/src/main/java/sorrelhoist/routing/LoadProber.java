package sorrelhoist.routing;

import java.util.Comparator;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;

/** Probes endpoints for their load, as far as a budget allows, and takes in the results. */
final class LoadProber {
    /** Points of the result that may be spent on probes. */
    private static final double SPENDING = 0.0003;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private double budget;

    LoadProber(RoutingContext context, EndpointTable endpoints) {
        this.context = context;
        this.endpoints = endpoints;
    }

    /** Each arrival of a request adds to the budget. */
    void recordArrival() {
        double cost = context.settings().capabilities().probeCost();
        budget = Math.min(1, budget + SPENDING / Math.max(SPENDING, cost));
    }

    /** Probes the serving endpoint whose last probe is the longest ago, if it can be paid for. */
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

    /** Takes in a probe's result; one of an endpoint that left is skipped. */
    void recordAnswer(ProbeAnswered answer) {
        Endpoint endpoint = endpoints.byId(answer.server());
        if (endpoint != null) {
            endpoint.update(answer.report());
        }
    }
}

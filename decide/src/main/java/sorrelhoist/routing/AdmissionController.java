package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * Sheds load on arrival: rejects at once what would come late by its prefill and its first token.
 */
final class AdmissionController {
    /** Share of the latency objective that a request may need. */
    private static final double OBJECTIVE_SHARE = 1;

    /** The same where a class of more weight needs the capacity. */
    private static final double LESSER_CLASS_SHARE = 0.85;

    /** The same where a tenant within its quota needs the capacity. */
    private static final double OVER_QUOTA_SHARE = 0.35;

    /** Share of the time left that a request may need whose answer has begun already. */
    private static final double RESUMED_SHARE = 0.5;

    /** Waiting requests, over all routers, that are always admitted to learn from. */
    private static final double ALWAYS_ADMITTED = 12;

    private final RoutingContext context;
    private final ArrivalRate arrivals;
    private final RequestTable requests;
    private final TenantQuota quota;
    private final ServiceTimes serviceTimes;
    private final QueueingDelays delays;
    private final CompletionEstimator completions;

    AdmissionController(
            RoutingContext context,
            ArrivalRate arrivals,
            RequestTable requests,
            TenantQuota quota,
            ServiceTimes serviceTimes,
            QueueingDelays delays,
            CompletionEstimator completions) {
        this.context = context;
        this.arrivals = arrivals;
        this.requests = requests;
        this.quota = quota;
        this.serviceTimes = serviceTimes;
        this.delays = delays;
        this.completions = completions;
    }

    /**
     * Decides whether a request is rejected on arrival. A class of less weight is held to the
     * tightest objective of those that weigh more: by its own it would fill the queue.
     *
     * @param request the request; it counts against its tenant's quota
     * @param prefill candidates for its prefill
     * @param selected the one that was selected, or null
     * @param decode candidates for its decode
     * @return why it is rejected, or null
     */
    Reason rejection(
            TrackedRequest request,
            List<Endpoint> prefill,
            Endpoint selected,
            List<Endpoint> decode) {
        boolean overQuota = quota.isExceededBy(request.arrival.tenant());
        double tightest = tightestObjectiveAbove(request.requestClass);
        boolean lesserClass = tightest < Double.MAX_VALUE;
        double prefillMicros = prefillMicros(request, prefill, selected);
        double delay = decodeDelay(decode);
        double firstToken = serviceTimes.firstTokenMicros(request.promptTokens());
        double expected = prefillMicros + firstToken + delay;
        int routers = context.settings().routers();
        double waiting = requests.waiting() - context.random().nextDouble();
        double share =
                overQuota ? OVER_QUOTA_SHARE : lesserClass ? LESSER_CLASS_SHARE : OBJECTIVE_SHARE;
        double limit = limit(request, share * Math.min(request.latencyObjective, tightest));
        if (waiting <= ALWAYS_ADMITTED / routers || expected <= limit) {
            return null;
        }
        Kind kind = overQuota ? Kind.DOOR_SHARE : lesserClass ? Kind.DOOR_LESS_WORTH : Kind.DOOR;
        return Reason.rejectedOnArrival(kind, expected, limit, prefillMicros, firstToken, delay);
    }

    private double tightestObjectiveAbove(RequestClass requestClass) {
        return context.settings().classes().stream()
                .filter(other -> other.priorityWeight() > requestClass.priorityWeight())
                .mapToDouble(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(Double.MAX_VALUE);
    }

    private double prefillMicros(
            TrackedRequest request, List<Endpoint> prefill, Endpoint selected) {
        boolean dense = arrivals.isDense();
        double soonest =
                prefill.stream()
                        .mapToDouble(
                                endpoint ->
                                        dense
                                                ? completions.pacedCompletion(endpoint, request)
                                                : completions.completion(endpoint, request))
                        .min()
                        .orElse(0);
        if (dense || selected == null) {
            return soonest;
        }
        double completion = completions.completion(selected, request);
        return Math.max(
                completion, completions.uncontended(selected, request) + delays.ofPrefills());
    }

    /** The delay of the better third: dead endpoints must not keep requests from the living. */
    private double decodeDelay(List<Endpoint> decode) {
        double[] overdue = decode.stream().mapToDouble(delays::overdue).sorted().toArray();
        double third = overdue.length == 0 ? 0 : overdue[overdue.length / 3];
        return Math.max(delays.ofFirstTokens(), third);
    }

    /**
     * After a loss of servers many come for the rest of broken answers, with all their text to
     * read; the objective alone rejects most, and what was written for them is lost. Harm: new ones
     * wait behind them.
     */
    private double limit(TrackedRequest request, double limit) {
        return request.arrival.resumed()
                ? Math.max(limit, RESUMED_SHARE * (request.deadline - context.now()))
                : limit;
    }
}

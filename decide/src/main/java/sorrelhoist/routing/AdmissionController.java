package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * Sheds load on arrival: rejects a request at once if its first token is expected later than a
 * limit that depends on the latency objective.
 */
final class AdmissionController {
    /** Share of the latency objective that a request may use. */
    private static final double OBJECTIVE_SHARE = 1;

    /**
     * Share of the objective that a request may use if another class has a higher weight: the rest
     * is capacity for that class.
     */
    private static final double LOWER_CLASS_SHARE = 0.85;

    /**
     * Share of the objective that a request of a tenant over its quota may use: the rest is
     * capacity for tenants within their quotas.
     */
    private static final double OVER_QUOTA_SHARE = 0.35;

    /** Share of the time until the deadline that a resumed request may use. */
    private static final double RESUMED_SHARE = 0.5;

    /**
     * Number of waiting requests, over all routers, up to which every request is admitted to learn
     * service times.
     */
    private static final double ALWAYS_ADMITTED_WAITING = 12;

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
     * Decides whether a request is rejected on arrival. A class with a lower weight has to meet the
     * tightest objective of the classes with a higher weight: by its own objective it would fill
     * the queue.
     *
     * @param request the request; it counts against its tenant's quota
     * @param prefill the prefill candidates
     * @param selected the selected prefill endpoint, or null
     * @param decode the decode candidates
     * @return the reason for the rejection, or null if the request is admitted
     */
    Reason rejection(
            TrackedRequest request,
            List<Endpoint> prefill,
            Endpoint selected,
            List<Endpoint> decode) {
        boolean overQuota = quota.isExceededBy(request.arrival.tenant());
        double tightest = tightestObjectiveAbove(request.requestClass);
        boolean lowerClass = tightest < Double.MAX_VALUE;
        double prefillMicros = prefillMicros(request, prefill, selected);
        double delay = decodeDelay(decode);
        double firstToken = serviceTimes.firstTokenMicros(request.promptTokens());
        double expected = prefillMicros + firstToken + delay;
        int routers = context.settings().routers();
        double waiting = requests.waiting() - context.random().nextDouble();
        double share =
                overQuota ? OVER_QUOTA_SHARE : lowerClass ? LOWER_CLASS_SHARE : OBJECTIVE_SHARE;
        double limit = limit(request, share * Math.min(request.latencyObjective, tightest));
        if (waiting <= ALWAYS_ADMITTED_WAITING / routers || expected <= limit) {
            return null;
        }
        Kind kind = overQuota ? Kind.DOOR_SHARE : lowerClass ? Kind.DOOR_LESS_WORTH : Kind.DOOR;
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
        double earliest =
                prefill.stream()
                        .mapToDouble(
                                endpoint ->
                                        dense
                                                ? completions.completionByIntervals(
                                                        endpoint, request)
                                                : completions.completion(endpoint, request))
                        .min()
                        .orElse(0);
        if (dense || selected == null) {
            return earliest;
        }
        double completion = completions.completion(selected, request);
        return Math.max(
                completion, completions.uncontended(selected, request) + delays.ofPrefills());
    }

    /**
     * Returns the larger of the mean delay of first tokens and the upper bound of the best third of
     * the overdue times: dead endpoints must not cause the rejection of requests that the others
     * can serve.
     */
    private double decodeDelay(List<Endpoint> decode) {
        double[] overdue = decode.stream().mapToDouble(delays::overdue).sorted().toArray();
        double third = overdue.length == 0 ? 0 : overdue[overdue.length / 3];
        return Math.max(delays.ofFirstTokens(), third);
    }

    /**
     * Raises the limit of resumed requests. After a loss of servers many clients resume broken
     * answers, whose whole text has to be prefilled again. The objective alone would reject most of
     * them, and the tokens generated for them would be lost. Drawback: new requests wait behind
     * them.
     */
    private double limit(TrackedRequest request, double limit) {
        return request.arrival.resumed()
                ? Math.max(limit, RESUMED_SHARE * (request.deadline - context.now()))
                : limit;
    }
}

package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Server;

/**
 * The components of a policy, wired individually for tests of single components. The clock starts
 * at ten seconds.
 */
final class PolicyParts {
    static final long START = 10 * Fixtures.SECOND;

    final RoutingContext context;
    final ArrivalRate arrivals = new ArrivalRate();
    final SlowStart slowStart = new SlowStart();
    final RequestTable requests = new RequestTable();
    final ServiceTimes serviceTimes;
    final PrefixTable prefixes;
    final EndpointTable endpoints;
    final GossipSender gossip;
    final QueueingDelays delays;
    final OutlierDetector outliers;
    final CompletionEstimator completions;
    final CandidateFilter filter;

    PolicyParts() {
        this(Fixtures.defaultSettings(), Fixtures.fleet());
    }

    PolicyParts(RoutingSettings settings, List<Server> servers) {
        context = new RoutingContext(settings, 7);
        serviceTimes = new ServiceTimes(settings.serverKinds().size(), arrivals);
        prefixes = new PrefixTable(context, serviceTimes);
        endpoints = new EndpointTable(context, prefixes);
        gossip = new GossipSender(context, arrivals);
        delays = new QueueingDelays(context, arrivals, gossip);
        outliers = new OutlierDetector(context, endpoints, gossip);
        completions = new CompletionEstimator(serviceTimes, delays, prefixes);
        filter = new CandidateFilter(context, endpoints, outliers, slowStart, arrivals);
        context.beginEvent(START);
        endpoints.update(new Members(ListUpdateKind.COMPLETE, servers));
    }

    Endpoint endpoint(String id) {
        return endpoints.byId(id);
    }

    /** Advances the clock and drops the actions so far. */
    void advanceClock(long micros) {
        context.beginEvent(context.now() + micros);
    }

    /** Makes so many requests arrive at once that they count as dense. */
    void makeDense() {
        for (int i = 0; i < 100; i++) {
            arrivals.recordArrival(context.now());
        }
    }

    TrackedRequest request(long id, String session, String prefix, long prompt, long shared) {
        RoutingSettings settings = context.settings();
        return new TrackedRequest(
                Fixtures.request(id, session, prefix, prompt, shared),
                settings.classes().get(0),
                context.now());
    }

    /** Starts an attempt of a request with a given expected service time. */
    Attempt start(TrackedRequest request, String id, boolean prefill, double serviceMicros) {
        Attempt.Estimate estimate = new Attempt.Estimate(serviceMicros, serviceMicros);
        Attempt attempt =
                new Attempt(
                        request.attempts++,
                        endpoint(id),
                        prefill,
                        100,
                        prefill ? 0 : 1000,
                        context.now(),
                        estimate);
        request.attempt = attempt;
        attempt.endpoint.inFlight.started(request.id, attempt);
        return attempt;
    }

    <T extends Action> List<T> actions(Class<T> type) {
        return Fixtures.all(context.actions(), type);
    }
}

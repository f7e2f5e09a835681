package sorrelhoist.routing;

import java.util.List;
import java.util.Objects;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Seated;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/**
 * The decision logic of one router. It is configured by {@link RoutingSettings}, takes {@link
 * RoutingEvents} and returns {@link RoutingActions}.
 *
 * <p>This class only dispatches events; each decision is made by a class of this package, which
 * holds the state that the decision needs. One instance serves one router and must be called by one
 * thread. The caller provides the time, in microseconds. All randomness comes from the seed, so
 * equal events give equal actions. The design is described in docs/design.md.
 */
public final class RoutingPolicy {
    /** Token of the housekeeping timer. Timers of requests use the request ids, which are lower. */
    static final long HOUSEKEEPING_TOKEN = 1L << 60;

    private static final long HOUSEKEEPING_MICROS = 250_000;

    private final RoutingContext context;
    private final ArrivalRate arrivals = new ArrivalRate();
    private final SlowStart slowStart = new SlowStart();
    private final RequestTable requests = new RequestTable();
    private final ServiceTimes serviceTimes;
    private final PrefixTable prefixes;
    private final EndpointTable endpoints;
    private final GossipSender gossipSender;
    private final GossipReceiver gossipReceiver;
    private final QueueingDelays delays;
    private final OutlierDetector outliers;
    private final LoadProber prober;
    private final RequestLifecycle lifecycle;
    private final StateTransfer stateTransfer;

    /**
     * Creates a policy with no learned state.
     *
     * @param settings the router's settings
     * @param seed seed of all random draws
     * @throws IllegalArgumentException if a setting is missing or inconsistent
     */
    public RoutingPolicy(RoutingSettings settings, long seed) {
        context = new RoutingContext(settings, seed);
        serviceTimes = new ServiceTimes(settings.serverKinds().size(), arrivals);
        prefixes = new PrefixTable(context, serviceTimes);
        endpoints = new EndpointTable(context, prefixes);
        gossipSender = new GossipSender(context, arrivals);
        delays = new QueueingDelays(context, arrivals, gossipSender);
        outliers = new OutlierDetector(context, endpoints, gossipSender);
        gossipReceiver = new GossipReceiver(context, arrivals, endpoints, outliers);
        prober = new LoadProber(context, endpoints);
        stateTransfer = new StateTransfer(endpoints, prefixes, serviceTimes);
        RequestConclusion conclusion = new RequestConclusion(context, requests);
        CandidateFilter filter =
                new CandidateFilter(context, endpoints, outliers, slowStart, arrivals);
        OutcomeRecorder outcomes =
                new OutcomeRecorder(
                        context, prefixes, serviceTimes, delays, outliers, gossipSender);
        RetryBudget retries = new RetryBudget(context);
        lifecycle =
                new RequestLifecycle(
                        context,
                        requests,
                        createStages(filter, conclusion),
                        outcomes,
                        retries,
                        new DeliveryFailover(context, filter, outcomes, retries),
                        conclusion);
    }

    private StageDispatcher createStages(CandidateFilter filter, RequestConclusion conclusion) {
        CompletionEstimator completions = new CompletionEstimator(serviceTimes, delays, prefixes);
        AdmissionController admission =
                new AdmissionController(
                        context,
                        arrivals,
                        requests,
                        new TenantQuota(context),
                        serviceTimes,
                        delays,
                        completions);
        return new StageDispatcher(
                context,
                filter,
                admission,
                new PrefillSelector(context, arrivals, prefixes, serviceTimes, completions),
                new DecodeSelector(context, endpoints, delays),
                new AttemptSender(context, prefixes, serviceTimes, delays),
                conclusion);
    }

    /**
     * Handles one event.
     *
     * @param time time of the event on the router's clock, in microseconds; it must not decrease
     * @param event the event
     * @return the actions to perform at once, in order; no action may delay the request that it
     *     concerns
     * @throws IllegalArgumentException if the time went backwards or the event is invalid
     */
    public List<Action> onEvent(long time, Event event) {
        Objects.requireNonNull(
                event, "event is null; to let time pass, request a Timer and report TimerFired");
        context.beginEvent(time);
        if (context.markStarted()) {
            context.emit(new Timer(HOUSEKEEPING_MICROS, HOUSEKEEPING_TOKEN));
            if (context.settings().subscribesToDiscovery()) {
                endpoints.subscribe();
            }
        }
        dispatch(event);
        return context.actions();
    }

    private void dispatch(Event event) {
        if (event instanceof Arrived arrived) {
            onArrival(arrived);
        } else if (event instanceof AttemptEnded ended) {
            lifecycle.onAttemptEnded(ended);
        } else if (event instanceof DeliveryUnconfirmed unconfirmed) {
            lifecycle.onDeliveryUnconfirmed(unconfirmed);
        } else if (event instanceof StreamStarted started) {
            lifecycle.onStreamStarted(started);
        } else if (event instanceof TimerFired timer) {
            onTimer(timer.token());
        } else if (event instanceof Members members) {
            endpoints.update(members);
        } else if (event instanceof ProbeAnswered answer) {
            prober.recordAnswer(answer);
        } else if (event instanceof ClientGone gone) {
            lifecycle.onClientGone(gone.id());
        } else if (event instanceof PeerMessage message) {
            gossipReceiver.receive(message.body());
        } else if (event instanceof Seated seated) {
            context.updateRouters(seated);
        }
    }

    private void onArrival(Arrived event) {
        InputValidator.checkArrival(event, context.settings(), requests.contains(event.id()));
        arrivals.recordArrival(context.now());
        prefixes.recordUse(event.prefix());
        prober.recordArrival();
        gossipSender.recordArrival();
        lifecycle.onArrival(event);
    }

    private void onTimer(long token) {
        if (token == HOUSEKEEPING_TOKEN) {
            runHousekeeping();
        } else if (token == EndpointTable.DISCOVERY_RETRY_TOKEN) {
            endpoints.subscribe();
        } else {
            lifecycle.onTimer(token);
        }
    }

    private void runHousekeeping() {
        context.emit(new Timer(HOUSEKEEPING_MICROS, HOUSEKEEPING_TOKEN));
        endpoints
                .servingByRole()
                .forEach(
                        (role, serving) -> {
                            delays.gossipOverdue(serving, HOUSEKEEPING_MICROS);
                            slowStart.measure(
                                    role,
                                    serving,
                                    context.settings(),
                                    context.now(),
                                    context.uptime());
                        });
        prefixes.expire();
        prober.probeIfDue();
    }

    /**
     * Exports the knowledge from this router's own observations, for the same router after a
     * restart or for another router.
     *
     * @param time current time, in microseconds
     * @param maxPrefixes maximum number of prefixes; the most recently used ones are exported
     * @return the knowledge
     */
    public Knowledge exportKnowledge(long time, int maxPrefixes) {
        return stateTransfer.exportKnowledge(time, maxPrefixes);
    }

    /**
     * Imports knowledge. It does not replace this router's own observations. All of it is a hint:
     * no endpoint becomes a candidate by it and none is ejected.
     *
     * @param time current time, in microseconds
     * @param imported the knowledge of another router, or of this router before a restart
     * @param ageMicros time since the export, in microseconds
     */
    public void importKnowledge(long time, Knowledge imported, long ageMicros) {
        stateTransfer.importKnowledge(time, imported, ageMicros);
    }
}

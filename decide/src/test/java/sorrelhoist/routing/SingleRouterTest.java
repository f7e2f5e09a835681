package sorrelhoist.routing;

import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.defaultSettings;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.send;
import static sorrelhoist.routing.Fixtures.settings;

import java.util.List;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/**
 * Base class with one router over the small fleet of {@link Fixtures} and steps that tests share.
 */
abstract class SingleRouterTest {
    final RoutingPolicy policy = start(defaultSettings(), fleet());
    long now = 10 * SECOND;

    static RoutingPolicy start(RoutingSettings settings, List<Server> servers) {
        RoutingPolicy d = new RoutingPolicy(settings, 7);
        d.onEvent(10 * SECOND, new Members(ListUpdateKind.RESTORED, servers));
        return d;
    }

    Send arrive(long id, String session, String prefix, long prompt, long prefixTokens) {
        return send(policy.onEvent(now, request(id, session, prefix, prompt, prefixTokens)));
    }

    Send endPrefill(Send s, long kept) {
        now += 50_000;
        return send(policy.onEvent(now, ended(s, 0, Outcome.READ, 50_000, kept)));
    }

    /** Ends a prefill and then its answer; returns the decode server. */
    String completeAnswer(Send s, int attempt, long took) {
        Send w = send(policy.onEvent(now, ended(s, attempt, Outcome.READ, took, 0)));
        policy.onEvent(now, new StreamStarted(w.id(), attempt + 1, w.server(), 20_000));
        policy.onEvent(now, ended(w, attempt + 1, Outcome.DONE, 20_000, 0));
        return w.server();
    }

    /** Runs one request through prefill and answer; returns the prefill server. */
    String serve(
            long id, String session, String prefix, long prompt, long prefixTokens, long kept) {
        Send s = arrive(id, session, prefix, prompt, prefixTokens);
        Send w = endPrefill(s, kept);
        policy.onEvent(now, new StreamStarted(id, 1, w.server(), 20_000));
        policy.onEvent(now, ended(w, 1, Outcome.DONE, 20_000, 0));
        return s.server();
    }
}

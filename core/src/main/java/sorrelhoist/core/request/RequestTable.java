package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of a router: by their clients' numbers while a result is owed, by their numbers at
 * the routing policy while it may still say something of them. Numbers are never given twice.
 */
final class RequestTable {
    private final Map<Long, RequestState> byClientId = new HashMap<>();
    private final Map<Long, RequestState> byRoutingId = new HashMap<>();
    private final List<RequestState> finished = new ArrayList<>();
    private long lastId;

    /** Opens a request for a client, who is owed a result from now on. */
    RequestState open(InferenceRequest parameters, long deadline) {
        RequestState request = new RequestState(++lastId, parameters, deadline);
        byClientId.put(request.clientId, request);
        return request;
    }

    /** Gives a request, or what is left of a broken stream, a number at the routing policy. */
    void assignRoutingId(RequestState request) {
        request.routingId = ++lastId;
        request.sends = 0;
        byRoutingId.put(request.routingId, request);
    }

    /** The policy is done with this number; the request may go on under another. */
    void removeRoutingId(RequestState request) {
        byRoutingId.remove(request.routingId);
    }

    /** Nothing is owed to the client any more. */
    void finish(RequestState request) {
        request.finished = true;
        finished.add(request);
        byClientId.remove(request.clientId);
    }

    /** {@return the request that is owed a result, or null} */
    RequestState byClientId(long clientId) {
        return byClientId.get(clientId);
    }

    /** {@return the request with this number at the routing policy, or null} */
    RequestState byRoutingId(long routingId) {
        return byRoutingId.get(routingId);
    }

    /** {@return the attempt with this name while it runs, or null} */
    Attempt runningAttempt(AttemptId id) {
        RequestState request = byRoutingId.get(id.requestId());
        Attempt attempt = request == null ? null : request.runningAttempt;
        return attempt != null && attempt.id.equals(id) ? attempt : null;
    }

    /**
     * Forgets finished requests that have no running attempt. Until then the policy's releases have
     * to find them.
     */
    void removeFinished() {
        finished.removeIf(
                request -> {
                    boolean idle = request.runningAttempt == null;
                    if (idle) {
                        byRoutingId.remove(request.routingId);
                    }
                    return idle;
                });
    }

    /** {@return how many clients are owed a result} */
    int openCount() {
        return byClientId.size();
    }

    /** {@return a copy of the requests whose clients are owed a result} */
    List<RequestState> open() {
        return List.copyOf(byClientId.values());
    }

    /** {@return the requests that the routing policy knows} */
    Collection<RequestState> knownToPolicy() {
        return byRoutingId.values();
    }
}

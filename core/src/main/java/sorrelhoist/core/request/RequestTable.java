package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of a router. A request is indexed by client ID until its client has its final result
 * or has disconnected, and by routing ID as long as the routing policy may still act on it. IDs are
 * never reused.
 */
final class RequestTable {
    private final Map<Long, RequestState> byClientId = new HashMap<>();
    private final Map<Long, RequestState> byRoutingId = new HashMap<>();
    private final List<RequestState> finished = new ArrayList<>();
    private long lastId;

    /** Opens a request. From now on its client has to receive a final result. */
    RequestState open(InferenceRequest parameters, long deadline) {
        RequestState request = new RequestState(++lastId, parameters, deadline);
        byClientId.put(request.clientId, request);
        return request;
    }

    /** Assigns a new routing ID to a request or to the remainder of a broken stream. */
    void assignRoutingId(RequestState request) {
        request.routingId = ++lastId;
        request.sendCount = 0;
        byRoutingId.put(request.routingId, request);
    }

    /**
     * Removes the routing ID of a request, which the policy no longer uses. The request may
     * continue under another one.
     */
    void removeRoutingId(RequestState request) {
        byRoutingId.remove(request.routingId);
    }

    /** Marks a request as finished: its client has its final result or has disconnected. */
    void finish(RequestState request) {
        request.finished = true;
        finished.add(request);
        byClientId.remove(request.clientId);
    }

    /**
     * {@return the request with this client ID if it still awaits its final result, otherwise null}
     */
    RequestState byClientId(long clientId) {
        return byClientId.get(clientId);
    }

    /** {@return the request with this routing ID, or null} */
    RequestState byRoutingId(long routingId) {
        return byRoutingId.get(routingId);
    }

    /** {@return the attempt with this ID while it is running, otherwise null} */
    Attempt runningAttempt(AttemptId id) {
        RequestState request = byRoutingId.get(id.requestId());
        Attempt attempt = request == null ? null : request.runningAttempt;
        return attempt != null && attempt.id.equals(id) ? attempt : null;
    }

    /**
     * Removes finished requests that have no running attempt. They are kept until then so that the
     * policy's release actions can find them.
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

    /** {@return the number of requests that still await their final result} */
    int openCount() {
        return byClientId.size();
    }

    /** {@return a copy of the requests that still await their final result} */
    List<RequestState> open() {
        return List.copyOf(byClientId.values());
    }

    /** {@return a live view of the requests that the routing policy knows} */
    Collection<RequestState> knownToPolicy() {
        return byRoutingId.values();
    }
}

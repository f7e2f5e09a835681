package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** The requests that are unanswered or have an attempt in flight. */
final class RequestTable {
    private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    private int unsettled;

    void add(TrackedRequest request) {
        requests.put(request.id, request);
        unsettled++;
    }

    /** {@return the request with an id, or null} */
    TrackedRequest find(long id) {
        return requests.get(id);
    }

    /** {@return the request if the given attempt of it is in flight, or null} */
    TrackedRequest findInFlight(long id, int attempt) {
        TrackedRequest request = requests.get(id);
        return request != null && request.isInFlight(attempt) ? request : null;
    }

    boolean contains(long id) {
        return requests.containsKey(id);
    }

    /** Marks a request as no longer waiting: its first token arrived, or it was concluded. */
    void settle(TrackedRequest request) {
        if (!request.settled) {
            unsettled--;
            request.settled = true;
        }
    }

    void remove(TrackedRequest request) {
        requests.remove(request.id);
        settle(request);
    }

    /** {@return the number of requests that wait for their first token} */
    int waiting() {
        return unsettled;
    }
}

package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** The requests that are owed an answer or have an attempt in flight. */
final class RequestTable {
    private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    private int unsettled;

    void add(TrackedRequest request) {
        requests.put(request.id, request);
        unsettled++;
    }

    /** {@return the request, or null} */
    TrackedRequest find(long id) {
        return requests.get(id);
    }

    /** {@return the request if this attempt of it is in flight, or null} */
    TrackedRequest findInFlight(long id, int attempt) {
        TrackedRequest request = requests.get(id);
        return request != null && request.isInFlight(attempt) ? request : null;
    }

    boolean contains(long id) {
        return requests.containsKey(id);
    }

    /** The request waits no more: its answer began, or it was concluded. */
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

    /** {@return how many requests wait for their first token} */
    int waiting() {
        return unsettled;
    }
}

package sorrelhoist.lab.soak;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Everything that clients and workers saw, by request. One thread. */
final class TrafficLog {
    private final Map<String, RequestTrace> requests = new LinkedHashMap<>();
    private long unknownIds;

    void add(RequestTrace request) {
        requests.put(request.id, request);
    }

    /** {@return the request with this id, or null: no client sent it in this form} */
    RequestTrace find(String id) {
        RequestTrace found = requests.get(id);
        if (found == null) {
            unknownIds++;
        }
        return found;
    }

    Collection<RequestTrace> requests() {
        return requests.values();
    }

    /** {@return attempts with an id that no client sent} */
    long unknownIds() {
        return unknownIds;
    }
}

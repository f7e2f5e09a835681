package sorrelhoist.planner;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sorrelhoist.protocol.plan.Peer;
import sorrelhoist.protocol.plan.PlanEvent;

/** The streams to edges, one for each edge. Its state belongs to the planner's loop. */
final class EdgeSessions {
    private final Map<String, EdgeSession> sessions = new LinkedHashMap<>();

    /** Adds an edge's session. {@return the edge's former session; null if it had none} */
    EdgeSession add(EdgeSession session) {
        return sessions.put(session.edge(), session);
    }

    /** {@return an edge's session; null if it has none} */
    EdgeSession of(String edge) {
        return sessions.get(edge);
    }

    /** Removes a session. {@return whether it was its edge's session} */
    boolean remove(EdgeSession session) {
        return sessions.remove(session.edge(), session);
    }

    /** Does something with each session, which may remove sessions. */
    void forEach(Consumer<EdgeSession> action) {
        List.copyOf(sessions.values()).forEach(action);
    }

    /** Sends an event to all edges. */
    void broadcast(PlanEvent event) {
        forEach(session -> session.send(event));
    }

    /** {@return the other edges whose addresses are known} */
    List<Peer> peersOf(EdgeSession session) {
        return sessions.values().stream()
                .filter(other -> other != session)
                .map(EdgeSession::peer)
                .filter(peer -> !peer.address().isEmpty())
                .toList();
    }
}

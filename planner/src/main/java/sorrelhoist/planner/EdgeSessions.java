package sorrelhoist.planner;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sorrelhoist.protocol.plan.Peer;
import sorrelhoist.protocol.plan.PlanEvent;

/** The streams to edges, one for each edge. Its state belongs to the planner's event loop. */
final class EdgeSessions {
    private final Map<String, EdgeSession> sessions = new LinkedHashMap<>();

    /** Adds an edge's session and returns the session that it replaces; null if there was none. */
    EdgeSession add(EdgeSession session) {
        return sessions.put(session.edge(), session);
    }

    /** Returns an edge's session; null if the edge has none. */
    EdgeSession sessionOf(String edge) {
        return sessions.get(edge);
    }

    /** Removes a session. Returns false if it was not its edge's current session. */
    boolean remove(EdgeSession session) {
        return sessions.remove(session.edge(), session);
    }

    /** Runs an action for each session. The action may remove sessions. */
    void forEach(Consumer<EdgeSession> action) {
        List.copyOf(sessions.values()).forEach(action);
    }

    /** Sends an event to all edges. */
    void broadcast(PlanEvent event) {
        forEach(session -> session.send(event));
    }

    /** Returns the other edges whose addresses are known. */
    List<Peer> peersOf(EdgeSession session) {
        return sessions.values().stream()
                .filter(other -> other != session)
                .map(EdgeSession::peer)
                .filter(peer -> !peer.address().isEmpty())
                .toList();
    }
}

package sorrelhoist.core.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;

/** Maps each engine on the endpoint list to its kind. */
final class EngineKinds {
    private final List<ServerKind> kinds;
    private final Map<String, Integer> kindByEngine = new HashMap<>();

    EngineKinds(List<ServerKind> kinds) {
        this.kinds = kinds;
    }

    /** Applies the complete endpoint list or an update of it. */
    void update(ListUpdateKind updateKind, List<Server> servers) {
        if (updateKind == ListUpdateKind.COMPLETE) {
            kindByEngine.clear();
        }
        for (Server server : servers) {
            if (server.state() == ServerState.GONE) {
                kindByEngine.remove(server.id());
            } else {
                kindByEngine.put(server.id(), server.kind());
            }
        }
    }

    boolean isListed(String engine) {
        return kindByEngine.containsKey(engine);
    }

    /** {@return the index of a listed engine's kind in the routing settings} */
    int kindOf(String engine) {
        return kindByEngine.get(engine);
    }

    /** {@return whether a listed engine serves prefill only} */
    boolean isPrefillOnly(String engine) {
        return kinds.get(kindOf(engine)).role() == Role.READ;
    }

    int size() {
        return kindByEngine.size();
    }
}

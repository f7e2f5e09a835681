package sorrelhoist.core.members;

import java.util.LinkedHashMap;
import java.util.Map;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * The servers that an endpoint list has reported as draining or gone. A list from another source
 * may be behind, and report such a server in an earlier state; that report does not put it back
 * into service. It is believed only if
 *
 * <ul>
 *   <li>the server has another start time, so that it is another process,
 *   <li>the same source has reported the retirement, so that it knows of it, or
 *   <li>the source has reached a version above all versions known before it, having begun below
 *       them. Another source may number its versions independently, so its versions prove nothing.
 * </ul>
 */
public final class RetiredServers {
    /** Maximum number of servers remembered; the ones that retired first are forgotten first. */
    private static final int MAX_SERVERS = 8192;

    /**
     * The retirement of one process of a server.
     *
     * @param state the latest state that was believed, draining or gone
     * @param startedAt the start time of the process, as listed
     * @param sourceNumber the source that reported it
     */
    private record Retirement(ServerState state, long startedAt, long sourceNumber) {}

    private final Map<String, Retirement> retirements = new LinkedHashMap<>();

    /** Number of the current source; each change of the source increases it. */
    private long sourceNumber;

    /** The highest version known before the current source. */
    private long previousVersion;

    /** Whether the current source began below a version known before it. */
    private boolean beganBehind;

    /**
     * Records that the next list comes from another source, or from one that has restarted its
     * version numbers.
     *
     * @param knownVersion the version of the list that was known before
     * @param firstVersion the first version of the source
     */
    public void sourceChanged(long knownVersion, long firstVersion) {
        sourceNumber++;
        previousVersion = Math.max(previousVersion, knownVersion);
        beganBehind = firstVersion < previousVersion;
    }

    /**
     * Decides the state of a server that the current source lists.
     *
     * @param server the server's id
     * @param startedAt its start time, as listed
     * @param reported the listed state
     * @param version the version of the list
     * @return the listed state, or a later one that has been reported before
     */
    public ServerState stateOf(String server, long startedAt, ServerState reported, long version) {
        Retirement known = retirements.get(server);
        if (known != null
                && known.startedAt() == startedAt
                && known.sourceNumber() != sourceNumber
                && isEarlier(reported, known.state())
                && !hasCaughtUp(version)) {
            return known.state();
        }
        if (reported == ServerState.SERVING) {
            retirements.remove(server);
        } else {
            retire(server, startedAt, reported);
        }
        return reported;
    }

    /**
     * Records that a complete list does not contain a server that was known. A source that is
     * behind may not know the server yet, so its list proves nothing.
     *
     * @param server the server's id
     * @param startedAt its start time, as it was listed
     * @param version the version of the list
     */
    public void absent(String server, long startedAt, long version) {
        if (version > previousVersion) {
            retire(server, startedAt, ServerState.GONE);
        }
    }

    private void retire(String server, long startedAt, ServerState state) {
        retirements.remove(server);
        retirements.put(server, new Retirement(state, startedAt, sourceNumber));
        if (retirements.size() > MAX_SERVERS) {
            retirements.remove(retirements.keySet().iterator().next());
        }
    }

    private boolean hasCaughtUp(long version) {
        return beganBehind && version > previousVersion;
    }

    private static boolean isEarlier(ServerState state, ServerState other) {
        return state == ServerState.SERVING && other != ServerState.SERVING
                || state == ServerState.DRAINING && other == ServerState.GONE;
    }

    /** {@return the number of servers that are remembered} */
    public int size() {
        return retirements.size();
    }
}

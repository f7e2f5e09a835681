package sorrelhoist.core.reservation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects engines for releases by the time at which bytes were last received from them: the holder
 * first, unless it is silent while other engines are active; then, in rotation, the most recently
 * active ones.
 */
public final class EngineActivity implements ReleaseTargetSelector {
    /**
     * Number of most recently active engines among which releases rotate, so that many releases at
     * once do not all go to one engine.
     */
    private static final int ROTATION_SIZE = 4;

    private final long silenceTimeoutMicros;
    private final Map<String, Long> lastReceivedAt = new HashMap<>();
    private long rotation;

    /**
     * Creates an instance without engines.
     *
     * @param silenceTimeoutMicros how far the last bytes of an engine may lie behind those of the
     *     most recently active engine before it counts as silent, in microseconds
     */
    public EngineActivity(long silenceTimeoutMicros) {
        this.silenceTimeoutMicros = silenceTimeoutMicros;
    }

    /** Adds an engine that is on the endpoint list. */
    public void added(String engine) {
        lastReceivedAt.putIfAbsent(engine, 0L);
    }

    /** Removes an engine that left the endpoint list. */
    public void removed(String engine) {
        lastReceivedAt.remove(engine);
    }

    /** Replaces the known engines by those of a complete endpoint list. */
    public void replaced(Collection<String> engines) {
        lastReceivedAt.keySet().retainAll(engines);
        engines.forEach(this::added);
    }

    /** {@return whether an engine is on the endpoint list} */
    public boolean isListed(String engine) {
        return lastReceivedAt.containsKey(engine);
    }

    /** Records that bytes were received from an engine; unlisted engines are ignored. */
    public void bytesReceived(String engine, long now) {
        lastReceivedAt.computeIfPresent(engine, (name, before) -> now);
    }

    @Override
    public String select(Hold hold, Set<String> calledEngines) {
        List<String> mostRecent = mostRecentlyActive(calledEngines);
        if (mostRecent.isEmpty()) {
            return null;
        }
        long latestReceivedAt = lastReceivedAt.get(mostRecent.get(0));
        boolean holderIsListed =
                !calledEngines.contains(hold.engine()) && lastReceivedAt.containsKey(hold.engine());
        if (holderIsListed && !isSilent(hold.engine(), latestReceivedAt)) {
            return hold.engine();
        }
        List<String> responsive =
                mostRecent.stream().filter(engine -> !isSilent(engine, latestReceivedAt)).toList();
        return responsive.get((int) (rotation++ % responsive.size()));
    }

    /** {@return the most recently active engines that were not called yet, the latest first} */
    private List<String> mostRecentlyActive(Set<String> calledEngines) {
        return lastReceivedAt.entrySet().stream()
                .filter(entry -> !calledEngines.contains(entry.getKey()))
                .sorted(
                        Comparator.comparing(Map.Entry<String, Long>::getValue)
                                .reversed()
                                .thenComparing(Map.Entry::getKey))
                .limit(ROTATION_SIZE)
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean isSilent(String engine, long latestReceivedAt) {
        return latestReceivedAt - lastReceivedAt.get(engine) > silenceTimeoutMicros;
    }
}

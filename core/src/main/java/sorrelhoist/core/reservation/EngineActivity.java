package sorrelhoist.core.reservation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses engines for releases by when they were last heard: the holder first, unless it is silent
 * while others speak; after it, in rotation, those heard last.
 */
public final class EngineActivity implements ReleaseTargetSelector {
    /** Of the engines heard last: many releases at once must not all go to one. */
    private static final int ROTATION_SIZE = 4;

    private final long silenceTimeoutMicros;
    private final Map<String, Long> lastHeardAt = new HashMap<>();
    private long rotation;

    /**
     * Creates one that knows no engine.
     *
     * @param silenceTimeoutMicros by how much an engine's last bytes have to lie behind another's
     *     for it to count as silent, in microseconds
     */
    public EngineActivity(long silenceTimeoutMicros) {
        this.silenceTimeoutMicros = silenceTimeoutMicros;
    }

    /** An engine is on the endpoint list. */
    public void added(String engine) {
        lastHeardAt.putIfAbsent(engine, 0L);
    }

    /** An engine left the endpoint list. */
    public void removed(String engine) {
        lastHeardAt.remove(engine);
    }

    /** These alone are on the endpoint list. */
    public void replaced(Collection<String> engines) {
        lastHeardAt.keySet().retainAll(engines);
        engines.forEach(this::added);
    }

    /** {@return whether an engine is on the endpoint list} */
    public boolean isListed(String engine) {
        return lastHeardAt.containsKey(engine);
    }

    /** Bytes came from an engine. */
    public void bytesReceived(String engine, long now) {
        lastHeardAt.computeIfPresent(engine, (name, before) -> now);
    }

    @Override
    public String select(Hold hold, Set<String> asked) {
        List<String> latest = latestHeard(asked);
        if (latest.isEmpty()) {
            return null;
        }
        long latestHeardAt = lastHeardAt.get(latest.get(0));
        boolean holderIsListed =
                !asked.contains(hold.engine()) && lastHeardAt.containsKey(hold.engine());
        if (holderIsListed && !isSilent(hold.engine(), latestHeardAt)) {
            return hold.engine();
        }
        List<String> responsive =
                latest.stream().filter(engine -> !isSilent(engine, latestHeardAt)).toList();
        return responsive.get((int) (rotation++ % responsive.size()));
    }

    /** {@return the engines heard last that were not asked yet, the latest first} */
    private List<String> latestHeard(Set<String> asked) {
        return lastHeardAt.entrySet().stream()
                .filter(entry -> !asked.contains(entry.getKey()))
                .sorted(
                        Comparator.comparing(Map.Entry<String, Long>::getValue)
                                .reversed()
                                .thenComparing(Map.Entry::getKey))
                .limit(ROTATION_SIZE)
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean isSilent(String engine, long latestHeardAt) {
        return latestHeardAt - lastHeardAt.get(engine) > silenceTimeoutMicros;
    }
}

package sorrelhoist.core.reservation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When engines were last heard, to choose those for a release that can be expected to answer: the
 * holder first, unless it is silent while others speak; after it, by turns, those heard last.
 */
public final class EngineActivity implements ReleaseTargetSelector {
    private static final int ROTATION_SIZE =
            4; // of the engines heard last: many releases at once must not all go to one
    private final long silenceTimeoutMicros;
    private final Map<String, Long> lastHeardAt = new HashMap<>();
    private long rotation;

    /**
     * Knows no engine.
     *
     * @param silenceTimeoutMicros by how much an engine's last word has to lie behind that of
     *     another to be called silent
     */
    public EngineActivity(long silenceTimeoutMicros) {
        this.silenceTimeoutMicros = silenceTimeoutMicros;
    }

    /** An engine is on the list. */
    public void added(String engine) {
        lastHeardAt.putIfAbsent(engine, 0L);
    }

    /** An engine left the list. */
    public void removed(String engine) {
        lastHeardAt.remove(engine);
    }

    /** These alone are on the list. */
    public void replaced(Collection<String> engines) {
        lastHeardAt.keySet().retainAll(engines);
        engines.forEach(this::added);
    }

    /** {@return whether an engine is on the list} */
    public boolean isListed(String engine) {
        return lastHeardAt.containsKey(engine);
    }

    /** Bytes came from an engine. */
    public void bytesReceived(String engine, long now) {
        lastHeardAt.computeIfPresent(engine, (name, before) -> now);
    }

    @Override
    public String select(Hold hold, Set<String> asked) {
        List<String> latest =
                lastHeardAt.entrySet().stream()
                        .filter(entry -> !asked.contains(entry.getKey()))
                        .sorted(
                                Comparator.comparing(Map.Entry<String, Long>::getValue)
                                        .reversed()
                                        .thenComparing(Map.Entry::getKey))
                        .limit(ROTATION_SIZE)
                        .map(Map.Entry::getKey)
                        .toList();
        if (latest.isEmpty()) {
            return null;
        }
        Long holder = asked.contains(hold.engine()) ? null : lastHeardAt.get(hold.engine());
        if (holder != null && lastHeardAt.get(latest.get(0)) - holder <= silenceTimeoutMicros) {
            return hold.engine();
        }
        List<String> lively =
                latest.stream()
                        .filter(
                                engine ->
                                        lastHeardAt.get(latest.get(0)) - lastHeardAt.get(engine)
                                                <= silenceTimeoutMicros)
                        .toList();
        return lively.get((int) (rotation++ % lively.size()));
    }
}

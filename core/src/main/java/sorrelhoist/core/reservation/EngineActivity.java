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
public final class EngineActivity implements ReleaseTargets {
    private static final int TURNS =
            4; // of the engines heard last: many releases at once must not all go to one
    private final long silentMicros;
    private final Map<String, Long> heardAt = new HashMap<>();
    private long turn;

    /**
     * Knows no engine.
     *
     * @param silentMicros by how much an engine's last word has to lie behind that of another to be
     *     called silent
     */
    public EngineActivity(long silentMicros) {
        this.silentMicros = silentMicros;
    }

    /** An engine is on the list. */
    public void added(String engine) {
        heardAt.putIfAbsent(engine, 0L);
    }

    /** An engine left the list. */
    public void removed(String engine) {
        heardAt.remove(engine);
    }

    /** These alone are on the list. */
    public void replaced(Collection<String> engines) {
        heardAt.keySet().retainAll(engines);
        engines.forEach(this::added);
    }

    /** {@return whether an engine is on the list} */
    public boolean knows(String engine) {
        return heardAt.containsKey(engine);
    }

    /** Bytes came from an engine. */
    public void heard(String engine, long now) {
        heardAt.computeIfPresent(engine, (name, before) -> now);
    }

    @Override
    public String next(Hold hold, Set<String> asked) {
        List<String> latest =
                heardAt.entrySet().stream()
                        .filter(entry -> !asked.contains(entry.getKey()))
                        .sorted(
                                Comparator.comparing(Map.Entry<String, Long>::getValue)
                                        .reversed()
                                        .thenComparing(Map.Entry::getKey))
                        .limit(TURNS)
                        .map(Map.Entry::getKey)
                        .toList();
        if (latest.isEmpty()) {
            return null;
        }
        Long holder = asked.contains(hold.engine()) ? null : heardAt.get(hold.engine());
        if (holder != null && heardAt.get(latest.get(0)) - holder <= silentMicros) {
            return hold.engine();
        }
        List<String> lively =
                latest.stream()
                        .filter(
                                engine ->
                                        heardAt.get(latest.get(0)) - heardAt.get(engine)
                                                <= silentMicros)
                        .toList();
        return lively.get((int) (turn++ % lively.size()));
    }
}

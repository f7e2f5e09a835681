package sorrelhoist.core.know;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongBiFunction;
import sorrelhoist.Knowledge;
import sorrelhoist.core.members.EngineTable;

/**
 * Names engines' processes alike at all routers: {@code Decide} knows a process by its start on its
 * own router's clock, others know it by the incarnation that the engine itself registered.
 */
public final class Processes {
    /** Stands for a process that is not the one this router knows. */
    private static final long OTHER = -1;

    private Processes() {}

    /** {@return the same with incarnations in place of this router's start times} */
    public static Knowledge outward(Knowledge k, EngineTable table) {
        return with(k, (id, since) -> table.since(id) == since ? table.incarnation(id) : OTHER);
    }

    /** {@return the same with this router's start times in place of incarnations} */
    public static Knowledge inward(Knowledge k, EngineTable table) {
        return with(
                k,
                (id, incarnation) ->
                        table.incarnation(id) == incarnation && incarnation != OTHER
                                ? table.since(id)
                                : OTHER);
    }

    private static Knowledge with(Knowledge k, ToLongBiFunction<String, Long> process) {
        List<Knowledge.Key> keys = new ArrayList<>();
        for (Knowledge.Key key : k.keys()) {
            keys.add(
                    new Knowledge.Key(
                            key.name(),
                            key.age(),
                            key.uses(),
                            key.holders().stream()
                                    .map(
                                            h ->
                                                    new Knowledge.Holding(
                                                            h.server(),
                                                            process.applyAsLong(
                                                                    h.server(), h.since()),
                                                            h.tokens()))
                                    .filter(h -> h.since() != OTHER)
                                    .toList()));
        }
        List<Knowledge.Health> health =
                k.servers().stream()
                        .map(
                                h ->
                                        new Knowledge.Health(
                                                h.id(),
                                                process.applyAsLong(h.id(), h.since()),
                                                h.bad(),
                                                h.slow(),
                                                h.heard()))
                        .filter(h -> h.since() != OTHER)
                        .toList();
        return new Knowledge(keys, health, k.reads(), k.firstTokens());
    }
}

package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongBiFunction;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.routing.Knowledge;

/**
 * Names engines' processes alike at all routers: {@code Decide} knows a process by its start on its
 * own router's clock, others know it by the incarnation that the engine itself registered.
 */
public final class ProcessIdentityTranslator {
    /** Stands for a process that is not the one this router knows. */
    private static final long OTHER = -1;

    private ProcessIdentityTranslator() {}

    /** {@return the same with incarnations in place of this router's start times} */
    public static Knowledge toIncarnations(Knowledge k, EngineTable table) {
        return with(k, (id, since) -> table.startedAt(id) == since ? table.incarnation(id) : OTHER);
    }

    /** {@return the same with this router's start times in place of incarnations} */
    public static Knowledge toLocalStartTimes(Knowledge k, EngineTable table) {
        return with(
                k,
                (id, incarnation) ->
                        table.incarnation(id) == incarnation && incarnation != OTHER
                                ? table.startedAt(id)
                                : OTHER);
    }

    private static Knowledge with(Knowledge k, ToLongBiFunction<String, Long> process) {
        List<Knowledge.PrefixEntry> keys = new ArrayList<>();
        for (Knowledge.PrefixEntry key : k.keys()) {
            keys.add(
                    new Knowledge.PrefixEntry(
                            key.name(),
                            key.ageMicros(),
                            key.uses(),
                            key.holders().stream()
                                    .map(
                                            h ->
                                                    new Knowledge.PrefixHolder(
                                                            h.server(),
                                                            process.applyAsLong(
                                                                    h.server(), h.since()),
                                                            h.tokens()))
                                    .filter(h -> h.since() != OTHER)
                                    .toList()));
        }
        List<Knowledge.ServerHealth> health =
                k.servers().stream()
                        .map(
                                h ->
                                        new Knowledge.ServerHealth(
                                                h.id(),
                                                process.applyAsLong(h.id(), h.since()),
                                                h.failureRate(),
                                                h.latencyRatio(),
                                                h.latencySamples()))
                        .filter(h -> h.since() != OTHER)
                        .toList();
        return new Knowledge(keys, health, k.prefillTimes(), k.firstTokenTimes());
    }
}

package sorrelhoist.core.statetransfer;

import java.util.List;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.ServerHealth;

/**
 * Names the processes of engines alike at all routers. The routing policy knows a process by its
 * start on this router's own clock; other routers, and later starts of this one, know it by the
 * incarnation that the engine registered. What is known of a process that runs no longer is left
 * out.
 */
public final class ProcessIdentityTranslator {
    /** Stands for a process that is not the one this router knows. */
    private static final long UNKNOWN_PROCESS = -1;

    /** Translates what identifies a server's process. */
    private interface Translation {
        long apply(String server, long process);
    }

    private final Translation translation;

    private ProcessIdentityTranslator(Translation translation) {
        this.translation = translation;
    }

    /** {@return the same with incarnations in place of this router's start times} */
    public static Knowledge toIncarnations(Knowledge knowledge, EngineTable engines) {
        return new ProcessIdentityTranslator(
                        (server, startedAt) ->
                                engines.startedAt(server) == startedAt
                                        ? engines.incarnation(server)
                                        : UNKNOWN_PROCESS)
                .translate(knowledge);
    }

    /** {@return the same with this router's start times in place of incarnations} */
    public static Knowledge toLocalStartTimes(Knowledge knowledge, EngineTable engines) {
        return new ProcessIdentityTranslator(
                        (server, incarnation) ->
                                incarnation != UNKNOWN_PROCESS
                                                && engines.incarnation(server) == incarnation
                                        ? engines.startedAt(server)
                                        : UNKNOWN_PROCESS)
                .translate(knowledge);
    }

    private Knowledge translate(Knowledge knowledge) {
        return new Knowledge(
                knowledge.keys().stream().map(this::translate).toList(),
                knowledge.servers().stream()
                        .map(this::translate)
                        .filter(health -> health.since() != UNKNOWN_PROCESS)
                        .toList(),
                knowledge.prefillTimes(),
                knowledge.firstTokenTimes());
    }

    private PrefixEntry translate(PrefixEntry key) {
        List<PrefixHolder> holders =
                key.holders().stream()
                        .map(this::translate)
                        .filter(holder -> holder.since() != UNKNOWN_PROCESS)
                        .toList();
        return new PrefixEntry(key.name(), key.ageMicros(), key.uses(), holders);
    }

    private PrefixHolder translate(PrefixHolder holder) {
        long process = translation.apply(holder.server(), holder.since());
        return new PrefixHolder(holder.server(), process, holder.tokens());
    }

    private ServerHealth translate(ServerHealth health) {
        return new ServerHealth(
                health.id(),
                translation.apply(health.id(), health.since()),
                health.failureRate(),
                health.latencyRatio(),
                health.latencySamples());
    }
}

package sorrelhoist.core.statetransfer;

import java.util.List;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.ServerHealth;

/**
 * Translates the identities of engine processes in knowledge, so that all routers can use it. The
 * routing policy identifies a process by its start time on this router's own clock; snapshots for
 * other routers and for later starts of this one identify it by the incarnation that the engine
 * registered. Knowledge of a process that no longer runs is omitted.
 */
public final class ProcessIdentityTranslator {
    /** Marks a process that is not the one that this router knows. */
    private static final long UNKNOWN_PROCESS = -1;

    /** Translates the identity of an engine's process. */
    private interface Translation {
        long apply(String server, long process);
    }

    private final Translation translation;

    private ProcessIdentityTranslator(Translation translation) {
        this.translation = translation;
    }

    /** {@return the knowledge with incarnations in place of this router's start times} */
    public static Knowledge toIncarnations(Knowledge knowledge, EngineTable engines) {
        return new ProcessIdentityTranslator(
                        (server, startedAt) ->
                                engines.startedAt(server) == startedAt
                                        ? engines.incarnation(server)
                                        : UNKNOWN_PROCESS)
                .translate(knowledge);
    }

    /** {@return the knowledge with this router's start times in place of incarnations} */
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

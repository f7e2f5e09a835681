package sorrelhoist.planner;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.core.members.RegistryView;

/** Polls the registry, again and again, with a pause after each answer. On the planner's loop. */
final class RegistryPoller {
    private final EventLoop loop;
    private final RegistryClient registry;
    private final long intervalMillis;
    private final Consumer<List<RegistryView.Instance>> onInstances;
    private final ProblemLog problems;
    private boolean stopped;

    /**
     * Creates a poller.
     *
     * @param loop the planner's loop
     * @param registry the client to poll with
     * @param intervalMillis the pause after each answer
     * @param onInstances takes the engines' instances
     * @param problems logs that the registry does not answer
     */
    RegistryPoller(
            EventLoop loop,
            RegistryClient registry,
            long intervalMillis,
            Consumer<List<RegistryView.Instance>> onInstances,
            ProblemLog problems) {
        this.loop = loop;
        this.registry = registry;
        this.intervalMillis = intervalMillis;
        this.onInstances = onInstances;
        this.problems = problems;
    }

    /** Polls at once, and from then on. */
    void poll() {
        if (!stopped) {
            registry.fetch().whenComplete(this::answered);
        }
    }

    private void answered(List<RegistryView.Instance> instances, Throwable failure) {
        if (failure == null) {
            onInstances.accept(instances);
        } else {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            problems.report("registry_unreachable", String.valueOf(cause.getMessage()));
        }
        if (!stopped) {
            loop.schedule(this::poll, intervalMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Polls no more. */
    void stop() {
        stopped = true;
    }
}

package sorrelhoist.planner;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.core.members.RegistryView;

/**
 * Polls the registry repeatedly, with a pause after each response. Runs on the planner's event
 * loop.
 */
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
     * @param loop the planner's event loop
     * @param registry the client of the registry
     * @param intervalMillis the pause after each response or failure, in milliseconds
     * @param onInstances receives the engines' instances
     * @param problems logs failed polls
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

    /** Polls the registry now, and schedules the next poll after the response. */
    void poll() {
        if (!stopped) {
            registry.fetch().whenComplete(this::fetchCompleted);
        }
    }

    private void fetchCompleted(List<RegistryView.Instance> instances, Throwable failure) {
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

    /** Stops polling. */
    void stop() {
        stopped = true;
    }
}

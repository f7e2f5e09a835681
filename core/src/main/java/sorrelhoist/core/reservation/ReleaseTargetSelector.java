package sorrelhoist.core.reservation;

import java.util.Set;

/** Selects the engine that is called next for a release. */
@FunctionalInterface
public interface ReleaseTargetSelector {
    /**
     * {@return the engine to call, or null if there is none}
     *
     * @param hold the resource to release
     * @param calledEngines engines that were already called and have not confirmed the release
     */
    String select(Hold hold, Set<String> calledEngines);
}

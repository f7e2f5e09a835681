package sorrelhoist.core.reservation;

import java.util.Set;

/** Chooses the engine that is asked next for a release. */
@FunctionalInterface
public interface ReleaseTargetSelector {
    /**
     * {@return the engine to ask, or null where there is none}
     *
     * @param hold what is to be released
     * @param asked engines that were asked already and have not done it
     */
    String select(Hold hold, Set<String> asked);
}

package sorrelhoist.standin.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Holds prefill states until they are fetched, released or expire. */
final class PrefillStateStore {
    /** Why a state is no longer held, with the word that the trace uses. */
    enum FreedBy {
        FETCH("fetched"),
        RELEASE("released"),
        EXPIRY("expired");

        private final String word;

        FreedBy(String word) {
            this.word = word;
        }

        String word() {
            return word;
        }
    }

    private final EngineTrace trace;
    private final Map<String, PrefillState> states = new LinkedHashMap<>();

    PrefillStateStore(EngineTrace trace) {
        this.trace = trace;
    }

    void hold(PrefillState state, String clientId) {
        states.put(state.id(), state);
        trace.stateHeld(state, clientId);
    }

    /** {@return the state that was freed, or null if it is not held} */
    PrefillState free(String id, FreedBy cause) {
        PrefillState state = states.remove(id);
        if (state != null) {
            trace.stateFreed(state, cause);
        }
        return state;
    }

    /** Releases all states that match. {@return whether there was any} */
    boolean releaseIf(Predicate<PrefillState> matches) {
        return freeIf(matches, FreedBy.RELEASE);
    }

    void expireOlderThan(long limitMicros) {
        freeIf(state -> state.heldSinceMicros() < limitMicros, FreedBy.EXPIRY);
    }

    private boolean freeIf(Predicate<PrefillState> matches, FreedBy cause) {
        List<PrefillState> freed = states.values().stream().filter(matches).toList();
        freed.forEach(state -> free(state.id(), cause));
        return !freed.isEmpty();
    }

    int size() {
        return states.size();
    }

    /** {@return the memory that the states take, in tokens} */
    long tokens() {
        return states.values().stream().mapToLong(PrefillState::tokens).sum();
    }
}

package sorrelhoist.core.life;

import java.util.HashMap;
import java.util.Map;

/**
 * Releases that were put off because an attempt went out that takes what is held. An attempt whose connection never came
 * up took nothing, and the time of what is held ran on meanwhile: its release is due at once, before any other attempt.
 */
public final class TakenReleases {
    private final Map<String, String> putOff = new HashMap<>();

    /** An attempt went out for a request whose release was due at an engine. */
    public void taken(String request, String engine) {
        putOff.put(request, engine);
    }

    /** An attempt's connection did not come up. {@return the engine to release at now, or null} */
    public String unreached(String request) {
        return putOff.remove(request);
    }

    /** An attempt ended that had reached its engine, or the request is over: what is held now has its own release. */
    public void settled(String request) {
        putOff.remove(request);
    }

    /** {@return how many wait} */
    public int size() {
        return putOff.size();
    }
}

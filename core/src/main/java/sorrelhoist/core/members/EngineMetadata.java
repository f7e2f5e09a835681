package sorrelhoist.core.members;

import java.util.Map;

/**
 * What an engine says of itself in the registry.
 *
 * @param zone its zone's name
 * @param rack its rack's name: engines with a fast link among them; may be empty
 * @param kind its kind's name
 * @param size for comparison within its role, above 0
 * @param startedMillis when its process started, milliseconds since 1970; 0 where it does not say
 */
record EngineMetadata(String zone, String rack, String kind, double size, long startedMillis) {
    private static final String ZONE = "zone";
    private static final String RACK = "rack";
    private static final String KIND = "kind";
    private static final String SIZE = "size";
    private static final String STARTED_MILLIS = "started-ms";

    /**
     * Parses an instance's metadata.
     *
     * @throws IllegalArgumentException where it cannot be used
     */
    static EngineMetadata parse(Map<String, String> metadata) {
        long startedMillis = Long.parseLong(metadata.getOrDefault(STARTED_MILLIS, "0"));
        double size = Double.parseDouble(metadata.getOrDefault(SIZE, "1"));
        if (!metadata.containsKey(ZONE) || !metadata.containsKey(KIND) || !(size > 0)) {
            throw new IllegalArgumentException("needs zone, kind and a size above 0");
        }
        return new EngineMetadata(
                metadata.get(ZONE),
                metadata.getOrDefault(RACK, ""),
                metadata.get(KIND),
                size,
                startedMillis);
    }
}

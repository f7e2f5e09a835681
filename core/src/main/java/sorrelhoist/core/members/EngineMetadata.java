package sorrelhoist.core.members;

import java.util.Map;

/**
 * The metadata that an engine publishes in the registry.
 *
 * @param zone the name of its zone
 * @param rack the name of its rack, whose engines have a fast link between them; may be empty
 * @param kind the name of its kind
 * @param size its relative size, for comparison with engines of the same role; above 0
 * @param startedMillis when its process started, in milliseconds since 1970; 0 if not given
 */
record EngineMetadata(String zone, String rack, String kind, double size, long startedMillis) {
    private static final String ZONE = "zone";
    private static final String RACK = "rack";
    private static final String KIND = "kind";
    private static final String SIZE = "size";
    private static final String STARTED_MILLIS = "started-ms";

    /**
     * Parses the metadata of an instance.
     *
     * @throws IllegalArgumentException if a required value is missing or a value is invalid
     */
    static EngineMetadata parse(Map<String, String> metadata) {
        long startedMillis = Long.parseLong(metadata.getOrDefault(STARTED_MILLIS, "0"));
        double size = Double.parseDouble(metadata.getOrDefault(SIZE, "1"));
        if (!metadata.containsKey(ZONE) || !metadata.containsKey(KIND) || !(size > 0)) {
            throw new IllegalArgumentException(
                    "zone and kind are required, and size must be above 0");
        }
        return new EngineMetadata(
                metadata.get(ZONE),
                metadata.getOrDefault(RACK, ""),
                metadata.get(KIND),
                size,
                startedMillis);
    }
}

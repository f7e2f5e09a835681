package sorrelhoist.app.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import sorrelhoist.protocol.net.LoopbackTransport;

/** Collects the errors in settings, each with the path of the setting. */
final class SettingsErrors {
    private static final int MAX_PORT = 65_535;
    private static final double MAX_PLAIN_INTEGER = 1e15;

    private final List<String> errors;

    /**
     * Creates a collector.
     *
     * @param errors the list to which errors are added
     */
    SettingsErrors(List<String> errors) {
        this.errors = errors;
    }

    /** Adds an error if a condition is false. */
    void require(boolean condition, String path, String error) {
        if (!condition) {
            errors.add(path + ": " + error);
        }
    }

    /** Requires a string that is not empty. */
    void requireNotEmpty(String path, String value) {
        require(!value.isEmpty(), path, "must not be empty");
    }

    /** Requires a number within a range, bounds included. */
    void requireRange(String path, double value, double min, double max) {
        require(
                value >= min && value <= max,
                path,
                "must be from " + plain(min) + " to " + plain(max) + ", not " + plain(value));
    }

    /** Requires a port to listen on, or 0. */
    void requirePort(String path, int value) {
        requireRange(path, value, 0, MAX_PORT);
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** Requires one of several strings. */
    void requireWord(String path, String value, Set<String> words) {
        require(
                words.contains(value),
                path,
                "must be one of " + words.stream().sorted().toList() + ", not \"" + value + "\"");
    }

    /** Requires an address of the form host:port. */
    void requireAddress(String path, String value) {
        try {
            LoopbackTransport.parseAddress(value);
        } catch (IllegalArgumentException e) {
            errors.add(path + ": " + e.getMessage());
        }
    }

    /** Requires that the names of a list's elements are unique and not empty. */
    <T> void requireDistinctNames(String path, List<T> elements, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < elements.size(); i++) {
            String elementName = name.apply(elements.get(i));
            String elementPath = path + "[" + i + "].name";
            requireNotEmpty(elementPath, elementName);
            require(seen.add(elementName), elementPath, "\"" + elementName + "\" is used twice");
        }
    }
}

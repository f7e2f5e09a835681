package sorrelhoist.app.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import sorrelhoist.protocol.net.LoopbackTransport;

/** Collects what is wrong with settings, each error with the path of its setting. */
final class SettingsErrors {
    private static final int MAX_PORT = 65_535;
    private static final double MAX_PLAIN_INTEGER = 1e15;

    private final List<String> errors;

    /**
     * Creates a collector.
     *
     * @param errors where errors are added
     */
    SettingsErrors(List<String> errors) {
        this.errors = errors;
    }

    /** Adds an error unless a condition holds. */
    void require(boolean condition, String path, String error) {
        if (!condition) {
            errors.add(path + ": " + error);
        }
    }

    /** Requires a text that is not empty. */
    void requireNotEmpty(String path, String value) {
        require(!value.isEmpty(), path, "may not be empty");
    }

    /** Requires a number within a range, its ends included. */
    void requireRange(String path, double value, double min, double max) {
        require(
                value >= min && value <= max,
                path,
                "has to be from " + plain(min) + " to " + plain(max) + ", not " + plain(value));
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

    /** Requires one of some words. */
    void requireWord(String path, String value, Set<String> words) {
        require(
                words.contains(value),
                path,
                "has to be one of " + words.stream().sorted().toList() + ", not \"" + value + "\"");
    }

    /** Requires an address of host and port. */
    void requireAddress(String path, String value) {
        try {
            LoopbackTransport.parseAddress(value);
        } catch (IllegalArgumentException e) {
            errors.add(path + ": " + e.getMessage());
        }
    }

    /** Requires that all elements of a list have names, each its own. */
    <T> void requireDistinctNames(String path, List<T> elements, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < elements.size(); i++) {
            String elementName = name.apply(elements.get(i));
            String elementPath = path + "[" + i + "].name";
            requireNotEmpty(elementPath, elementName);
            require(seen.add(elementName), elementPath, "\"" + elementName + "\" is there twice");
        }
    }
}

package sorrelhoist.app.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;

/**
 * Reads JSON objects into records. The record type is the schema: each component is a required key
 * of the component's name and type, and no other keys are allowed. All errors are collected, each
 * with its path.
 */
final class RecordReader {
    private static final int MAX_QUOTED_LENGTH = 40;

    /** Keys at this edit distance or more from an unknown key are not suggested. */
    private static final int SUGGESTION_DISTANCE = 3;

    private final List<String> errors;

    /**
     * Creates a reader.
     *
     * @param errors the list to which errors are added
     */
    RecordReader(List<String> errors) {
        this.errors = errors;
    }

    /** {@return the record; null if the object contains an error} */
    <T> T read(JsonNode node, Class<T> type, String path) {
        if (!node.isObject()) {
            errors.add(prefix(path) + "expected an object");
            return null;
        }
        int errorsBefore = errors.size();
        RecordComponent[] components = type.getRecordComponents();
        checkKeys(node, components, path);
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            values[i] = readComponent(node, components[i], path);
        }
        return errors.size() > errorsBefore ? null : newRecord(type, components, values);
    }

    private void checkKeys(JsonNode node, RecordComponent[] components, String path) {
        for (Iterator<String> keys = node.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (Arrays.stream(components).noneMatch(c -> c.getName().equals(key))) {
                errors.add(
                        prefix(join(path, key)) + "unknown setting" + suggestion(key, components));
            }
        }
    }

    private Object readComponent(JsonNode node, RecordComponent component, String path) {
        String key = component.getName();
        String componentPath = join(path, key);
        if (!node.has(key)) {
            errors.add(prefix(componentPath) + "missing");
            return null;
        }
        return readValue(node.get(key), component.getGenericType(), componentPath);
    }

    private static <T> T newRecord(Class<T> type, RecordComponent[] components, Object[] values) {
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return type.getDeclaredConstructor(types).newInstance(values);
        } catch (NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException(type + " cannot be instantiated", e);
        }
    }

    private Object readValue(JsonNode node, Type type, String path) {
        if (type == String.class) {
            return node.isTextual() ? node.asText() : error(path, "expected a string", node);
        } else if (type == boolean.class) {
            return node.isBoolean()
                    ? node.asBoolean()
                    : error(path, "expected true or false", node);
        } else if (type == double.class) {
            return node.isNumber() ? node.asDouble() : error(path, "expected a number", node);
        } else if (type == int.class) {
            return node.isNumber() && node.asDouble() == node.asInt()
                    ? node.asInt()
                    : error(path, "expected a whole number", node);
        } else if (type == long.class) {
            return node.isNumber() && node.asDouble() == node.asLong()
                    ? node.asLong()
                    : error(path, "expected a whole number", node);
        } else if (type instanceof ParameterizedType list) {
            return readList(node, list.getActualTypeArguments()[0], path);
        }
        return read(node, (Class<?>) type, path);
    }

    private Object readList(JsonNode node, Type elementType, String path) {
        if (!node.isArray()) {
            return error(path, "expected a list", node);
        }
        List<Object> elements = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            elements.add(readValue(node.get(i), elementType, path + "[" + i + "]"));
        }
        return elements.contains(null) ? null : List.copyOf(elements);
    }

    /** Adds an error. {@return null, for use as the value that could not be read} */
    private Object error(String path, String expected, JsonNode found) {
        String text = found.toString();
        String quoted =
                text.length() > MAX_QUOTED_LENGTH
                        ? text.substring(0, MAX_QUOTED_LENGTH) + "..."
                        : text;
        errors.add(prefix(path) + expected + ", not " + quoted);
        return null;
    }

    /** {@return a suggestion of the most similar key; empty if no key is similar enough} */
    private static String suggestion(String key, RecordComponent[] components) {
        String nearest = null;
        int leastDistance = SUGGESTION_DISTANCE;
        for (RecordComponent component : components) {
            int distance =
                    editDistance(
                            key.toLowerCase(Locale.ROOT),
                            component.getName().toLowerCase(Locale.ROOT));
            if (distance < leastDistance) {
                leastDistance = distance;
                nearest = component.getName();
            }
        }
        return nearest == null ? "" : "; did you mean " + nearest + "?";
    }

    /** {@return the Levenshtein distance} */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    private static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static String prefix(String path) {
        return path.isEmpty() ? "" : path + ": ";
    }
}

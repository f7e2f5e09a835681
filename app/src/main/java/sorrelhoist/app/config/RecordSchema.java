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

/**
 * Reads settings into records. The records are the schema: each component has to be there, with its
 * type, and nothing else may be. All faults are collected, each with its path.
 */
final class RecordSchema {
    private final List<String> faults;

    RecordSchema(List<String> faults) {
        this.faults = faults;
    }

    /** {@return the record, or null where something in it was at fault} */
    <T> T read(JsonNode node, Class<T> type, String path) {
        if (!node.isObject()) {
            faults.add(at(path) + "an object is needed");
            return null;
        }
        int before = faults.size();
        RecordComponent[] components = type.getRecordComponents();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (Arrays.stream(components).noneMatch(c -> c.getName().equals(name))) {
                faults.add(at(join(path, name)) + "not known here" + nearest(name, components));
            }
        }
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            RecordComponent c = components[i];
            String below = join(path, c.getName());
            if (node.has(c.getName())) {
                values[i] = value(node.get(c.getName()), c.getGenericType(), below);
            } else {
                faults.add(at(below) + "missing");
            }
        }
        return faults.size() > before ? null : make(type, components, values);
    }

    private static <T> T make(Class<T> type, RecordComponent[] components, Object[] values) {
        try {
            Class<?>[] types =
                    Arrays.stream(components)
                            .map(RecordComponent::getType)
                            .toArray(Class<?>[]::new);
            return type.getDeclaredConstructor(types).newInstance(values);
        } catch (NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException(type + " cannot be made", e);
        }
    }

    private Object value(JsonNode node, Type type, String path) {
        if (type == String.class) {
            return node.isTextual() ? node.asText() : fault(path, "a text is needed", node);
        } else if (type == boolean.class) {
            return node.isBoolean()
                    ? node.asBoolean()
                    : fault(path, "true or false is needed", node);
        } else if (type == double.class) {
            return node.isNumber() ? node.asDouble() : fault(path, "a number is needed", node);
        } else if (type == int.class) {
            return node.isNumber() && node.asDouble() == node.asInt()
                    ? node.asInt()
                    : fault(path, "a whole number is needed", node);
        } else if (type == long.class) {
            return node.isNumber() && node.asDouble() == node.asLong()
                    ? node.asLong()
                    : fault(path, "a whole number is needed", node);
        } else if (type instanceof ParameterizedType list) {
            return list(node, list.getActualTypeArguments()[0], path);
        }
        return read(node, (Class<?>) type, path);
    }

    private Object list(JsonNode node, Type of, String path) {
        if (!node.isArray()) {
            return fault(path, "a list is needed", node);
        }
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < node.size(); i++) {
            values.add(value(node.get(i), of, path + "[" + i + "]"));
        }
        return values.contains(null) ? null : List.copyOf(values);
    }

    private Object fault(String path, String what, JsonNode found) {
        String text = found.toString();
        faults.add(
                at(path)
                        + what
                        + ", not "
                        + (text.length() > 40 ? text.substring(0, 40) + "..." : text));
        return null;
    }

    private static String nearest(String name, RecordComponent[] components) {
        String best = null;
        int least = 3;
        for (RecordComponent c : components) {
            int distance =
                    distance(
                            name.toLowerCase(java.util.Locale.ROOT),
                            c.getName().toLowerCase(java.util.Locale.ROOT));
            if (distance < least) {
                least = distance;
                best = c.getName();
            }
        }
        return best == null ? "" : "; is " + best + " meant?";
    }

    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String at(String path) {
        return path.isEmpty() ? "" : path + ": ";
    }
}

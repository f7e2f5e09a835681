package sorrelhoist.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable JSON object with typed access to its fields. A getter throws an {@link
 * InvalidMessageException} that names the field if it is missing, mistyped or out of range. A field
 * whose value is JSON null counts as absent.
 */
public final class JsonObject {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double LONG_LIMIT = 0x1p63;

    private final Map<String, Object> fields;

    private JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /**
     * Parses a text that consists of exactly one JSON object.
     *
     * @param json the text
     * @return the parsed object
     * @throws InvalidMessageException if the text is not valid JSON, or not exactly one object
     */
    public static JsonObject parse(String json) throws InvalidMessageException {
        try (JsonParser parser = JSON.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw InvalidMessageException.malformedJson("an object was expected");
            }
            JsonObject object = new JsonObject(readFields(parser));
            if (parser.nextToken() != null) {
                throw InvalidMessageException.malformedJson("more than one value on the line");
            }
            return object;
        } catch (JsonProcessingException e) {
            throw InvalidMessageException.malformedJson(e);
        } catch (IOException e) {
            throw new InvalidMessageException("unreadable line: " + e.getMessage());
        }
    }

    private static Map<String, Object> readFields(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser));
        }
        return fields;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readFields(parser);
            case START_ARRAY -> readElements(parser);
            default -> readScalar(parser);
        };
    }

    private static List<Object> readElements(JsonParser parser) throws IOException {
        List<Object> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(readValue(parser));
        }
        return elements;
    }

    static Object readScalar(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    static JsonObject of(Map<String, Object> fields) {
        return new JsonObject(fields);
    }

    /**
     * {@return a required string}
     *
     * @param name the field
     */
    public String getString(String name) throws InvalidMessageException {
        requireField(name);
        return getString(name, null);
    }

    /**
     * {@return an optional string}
     *
     * @param name the field
     * @param defaultValue the value if the field is absent
     */
    public String getString(String name, String defaultValue) throws InvalidMessageException {
        Object value = fields.get(name);
        if (value != null && !(value instanceof String)) {
            throw InvalidMessageException.wrongType(name, "text");
        }
        return value == null ? defaultValue : (String) value;
    }

    /**
     * {@return a required whole number}
     *
     * @param name the field
     * @param min the least value that is in range
     */
    public long getLong(String name, long min) throws InvalidMessageException {
        requireField(name);
        return getLong(name, min, 0);
    }

    /**
     * {@return an optional whole number}
     *
     * @param name the field
     * @param min the least value that is in range
     * @param defaultValue the value if the field is absent; not checked against {@code min}
     */
    public long getLong(String name, long min, long defaultValue) throws InvalidMessageException {
        double exact = getDouble(name, defaultValue);
        Object value = fields.get(name);
        long whole = value instanceof Number number ? number.longValue() : defaultValue;
        boolean belowMin = value != null && whole < min;
        if (exact != Math.rint(exact) || exact >= LONG_LIMIT || belowMin) {
            throw InvalidMessageException.outOfRange(name);
        }
        return whole;
    }

    /** {@return a required index, at least 0 and less than a size} */
    int getIndex(String name, int size) throws InvalidMessageException {
        return checkIndex(name, size, getLong(name, 0));
    }

    /** {@return an optional index, at least 0 and less than a size; 0 if absent} */
    int getIndexOrZero(String name, int size) throws InvalidMessageException {
        return checkIndex(name, size, getLong(name, 0, 0));
    }

    private static int checkIndex(String name, int size, long value)
            throws InvalidMessageException {
        if (value >= size) {
            throw InvalidMessageException.outOfRange(name);
        }
        return (int) value;
    }

    /**
     * {@return an optional number}
     *
     * @param name the field
     * @param defaultValue the value if the field is absent
     */
    public double getDouble(String name, double defaultValue) throws InvalidMessageException {
        Object value = fields.get(name);
        if (value != null && !(value instanceof Number)) {
            throw InvalidMessageException.wrongType(name, "a number");
        }
        return value == null ? defaultValue : ((Number) value).doubleValue();
    }

    /**
     * {@return an optional boolean, false if absent}
     *
     * @param name the field
     */
    public boolean getBoolean(String name) throws InvalidMessageException {
        Object value = fields.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw InvalidMessageException.wrongType(name, "true or false");
        }
        return Boolean.TRUE.equals(value);
    }

    /**
     * {@return an optional nested object, an empty object if absent}
     *
     * @param name the field
     */
    public JsonObject getObject(String name) throws InvalidMessageException {
        return toObject(name, fields.get(name));
    }

    /** {@return a required nested object} */
    JsonObject getRequiredObject(String name) throws InvalidMessageException {
        requireField(name);
        return getObject(name);
    }

    @SuppressWarnings("unchecked") // nested maps are created only here and in JsonObjectReader
    private static JsonObject toObject(String name, Object value) throws InvalidMessageException {
        if (value == null) {
            return new JsonObject(Map.of());
        }
        if (!(value instanceof Map)) {
            throw InvalidMessageException.wrongType(name, "an object");
        }
        return new JsonObject((Map<String, Object>) value);
    }

    /**
     * {@return an optional list of objects, empty if absent}
     *
     * @param name the field
     */
    public List<JsonObject> getObjects(String name) throws InvalidMessageException {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : getList(name)) {
            objects.add(toObject(name, element));
        }
        return objects;
    }

    /**
     * {@return an optional list of plain values, empty if absent}
     *
     * @param name the field
     */
    public List<?> getList(String name) throws InvalidMessageException {
        Object value = fields.get(name);
        if (value != null && !(value instanceof List)) {
            throw InvalidMessageException.wrongType(name, "a list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    /**
     * {@return whether a field is present and not null}
     *
     * @param name the field
     */
    public boolean contains(String name) {
        return fields.get(name) != null;
    }

    /** {@return the values of all fields by name; every field has to be a number} */
    Map<String, Double> toDoubles() throws InvalidMessageException {
        Map<String, Double> doubles = new LinkedHashMap<>();
        for (String name : fields.keySet()) {
            doubles.put(name, getDouble(name, 0));
        }
        return doubles;
    }

    private void requireField(String name) throws InvalidMessageException {
        if (!contains(name)) {
            throw InvalidMessageException.missingField(name);
        }
    }
}

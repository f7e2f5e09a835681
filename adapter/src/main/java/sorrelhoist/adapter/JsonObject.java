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

/** A JSON object with typed access; a missing or odd field is named in the fault. */
public final class JsonObject {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Object> values;

    private JsonObject(Map<String, Object> values) {
        this.values = values;
    }

    /** Parses one line that must hold exactly one object. */
    public static JsonObject parse(String line) throws InvalidMessageException {
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidMessageException("malformed JSON: an object was expected");
            }
            JsonObject fields = new JsonObject(object(parser));
            if (parser.nextToken() != null) {
                throw new InvalidMessageException(
                        "malformed JSON: more than one value on the line");
            }
            return fields;
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException(
                    "malformed JSON: " + e.getOriginalMessage().replaceAll("\\s+", " "));
        } catch (IOException e) {
            throw new InvalidMessageException("unreadable line: " + e.getMessage());
        }
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, value(parser));
        }
        return map;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                yield list;
            }
            default -> scalar(parser);
        };
    }

    static Object scalar(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    static JsonObject of(Map<String, Object> values) {
        return new JsonObject(values);
    }

    /** A text that has to be there. */
    public String getString(String name) throws InvalidMessageException {
        String text = getString(name, null);
        return text == null ? missing(name) : text;
    }

    /** A text. */
    public String getString(String name, String otherwise) throws InvalidMessageException {
        Object value = values.get(name);
        if (value != null && !(value instanceof String)) {
            throw new InvalidMessageException("field \"" + name + "\" should be text");
        }
        return value == null ? otherwise : (String) value;
    }

    /** A whole number that has to be there. */
    public long getLong(String name, long least) throws InvalidMessageException {
        return values.get(name) == null ? missing(name) : getLong(name, least, 0);
    }

    /** A whole number. */
    public long getLong(String name, long least, long otherwise) throws InvalidMessageException {
        double value = getDouble(name, otherwise);
        Object raw = values.get(name);
        long whole = raw instanceof Number n ? n.longValue() : otherwise;
        if (value != Math.rint(value) || value >= 0x1p63 || raw != null && whole < least) {
            throw new InvalidMessageException("field \"" + name + "\" is out of range");
        }
        return whole;
    }

    int getIndex(String name, int size) throws InvalidMessageException {
        return getIndex(name, size, getLong(name, 0));
    }

    int getIndexOrZero(String name, int size) throws InvalidMessageException {
        return getIndex(name, size, getLong(name, 0, 0));
    }

    private static int getIndex(String name, int size, long value) throws InvalidMessageException {
        if (value >= size) {
            throw new InvalidMessageException("field \"" + name + "\" is out of range");
        }
        return (int) value;
    }

    /** A number. */
    public double getDouble(String name, double otherwise) throws InvalidMessageException {
        Object value = values.get(name);
        if (value != null && !(value instanceof Number)) {
            throw new InvalidMessageException("field \"" + name + "\" should be a number");
        }
        return value == null ? otherwise : ((Number) value).doubleValue();
    }

    /** True or false; false where absent. */
    public boolean getBoolean(String name) throws InvalidMessageException {
        Object value = values.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw new InvalidMessageException("field \"" + name + "\" should be true or false");
        }
        return Boolean.TRUE.equals(value);
    }

    /** A nested object; empty where absent. */
    public JsonObject getObject(String name) throws InvalidMessageException {
        return getObject(name, values.get(name));
    }

    JsonObject getRequiredObject(String name) throws InvalidMessageException {
        return values.get(name) == null ? missing(name) : getObject(name);
    }

    @SuppressWarnings("unchecked")
    private static JsonObject getObject(String name, Object value) throws InvalidMessageException {
        if (value == null) {
            return new JsonObject(Map.of());
        }
        if (!(value instanceof Map)) {
            throw new InvalidMessageException("field \"" + name + "\" should be an object");
        }
        return new JsonObject((Map<String, Object>) value);
    }

    /** A list of objects. */
    public List<JsonObject> getObjects(String name) throws InvalidMessageException {
        List<JsonObject> rows = new ArrayList<>();
        for (Object value : getList(name)) {
            rows.add(getObject(name, value));
        }
        return rows;
    }

    /** A list of plain values; empty where absent. */
    public List<?> getList(String name) throws InvalidMessageException {
        Object value = values.get(name);
        if (value != null && !(value instanceof List)) {
            throw new InvalidMessageException("field \"" + name + "\" should be a list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    /** Whether it is there. */
    public boolean contains(String name) {
        return values.get(name) != null;
    }

    /** All numbers of this object by name. */
    Map<String, Double> toDoubles() throws InvalidMessageException {
        Map<String, Double> numbers = new LinkedHashMap<>();
        for (String name : values.keySet()) {
            numbers.put(name, getDouble(name, 0));
        }
        return numbers;
    }

    private static <T> T missing(String name) throws InvalidMessageException {
        throw new InvalidMessageException("required field \"" + name + "\" is missing");
    }
}

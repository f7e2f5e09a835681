package sorrelhoist.wire;

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
public final class Fields {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Object> values;

    private Fields(Map<String, Object> values) {
        this.values = values;
    }

    /** Parses one line that must hold exactly one object. */
    public static Fields parse(String line) throws WireException {
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new WireException("malformed JSON: an object was expected");
            }
            Fields fields = new Fields(object(parser));
            if (parser.nextToken() != null) {
                throw new WireException("malformed JSON: more than one value on the line");
            }
            return fields;
        } catch (JsonProcessingException e) {
            throw new WireException(
                    "malformed JSON: " + e.getOriginalMessage().replaceAll("\\s+", " "));
        } catch (IOException e) {
            throw new WireException("unreadable line: " + e.getMessage());
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

    static Fields of(Map<String, Object> values) {
        return new Fields(values);
    }

    /** A text that has to be there. */
    public String text(String name) throws WireException {
        String text = text(name, null);
        return text == null ? missing(name) : text;
    }

    /** A text. */
    public String text(String name, String otherwise) throws WireException {
        Object value = values.get(name);
        if (value != null && !(value instanceof String)) {
            throw new WireException("field \"" + name + "\" should be text");
        }
        return value == null ? otherwise : (String) value;
    }

    /** A whole number that has to be there. */
    public long whole(String name, long least) throws WireException {
        return values.get(name) == null ? missing(name) : whole(name, least, 0);
    }

    /** A whole number. */
    public long whole(String name, long least, long otherwise) throws WireException {
        double value = number(name, otherwise);
        Object raw = values.get(name);
        long whole = raw instanceof Number n ? n.longValue() : otherwise;
        if (value != Math.rint(value) || value >= 0x1p63 || raw != null && whole < least) {
            throw new WireException("field \"" + name + "\" is out of range");
        }
        return whole;
    }

    int index(String name, int size) throws WireException {
        return index(name, size, whole(name, 0));
    }

    int indexOrZero(String name, int size) throws WireException {
        return index(name, size, whole(name, 0, 0));
    }

    private static int index(String name, int size, long value) throws WireException {
        if (value >= size) {
            throw new WireException("field \"" + name + "\" is out of range");
        }
        return (int) value;
    }

    /** A number. */
    public double number(String name, double otherwise) throws WireException {
        Object value = values.get(name);
        if (value != null && !(value instanceof Number)) {
            throw new WireException("field \"" + name + "\" should be a number");
        }
        return value == null ? otherwise : ((Number) value).doubleValue();
    }

    /** True or false; false where absent. */
    public boolean flag(String name) throws WireException {
        Object value = values.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw new WireException("field \"" + name + "\" should be true or false");
        }
        return Boolean.TRUE.equals(value);
    }

    /** A nested object; empty where absent. */
    public Fields inner(String name) throws WireException {
        return inner(name, values.get(name));
    }

    Fields innerOrFail(String name) throws WireException {
        return values.get(name) == null ? missing(name) : inner(name);
    }

    @SuppressWarnings("unchecked")
    private static Fields inner(String name, Object value) throws WireException {
        if (value == null) {
            return new Fields(Map.of());
        }
        if (!(value instanceof Map)) {
            throw new WireException("field \"" + name + "\" should be an object");
        }
        return new Fields((Map<String, Object>) value);
    }

    /** A list of objects. */
    public List<Fields> rows(String name) throws WireException {
        List<Fields> rows = new ArrayList<>();
        for (Object value : list(name)) {
            rows.add(inner(name, value));
        }
        return rows;
    }

    /** A list of plain values; empty where absent. */
    public List<?> list(String name) throws WireException {
        Object value = values.get(name);
        if (value != null && !(value instanceof List)) {
            throw new WireException("field \"" + name + "\" should be a list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    /** Whether it is there. */
    public boolean has(String name) {
        return values.get(name) != null;
    }

    /** All numbers of this object by name. */
    Map<String, Double> numbers() throws WireException {
        Map<String, Double> numbers = new LinkedHashMap<>();
        for (String name : values.keySet()) {
            numbers.put(name, number(name, 0));
        }
        return numbers;
    }

    private static <T> T missing(String name) throws WireException {
        throw new WireException("required field \"" + name + "\" is missing");
    }
}

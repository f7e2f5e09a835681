package sorrelhoist.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An incremental reader of concatenated JSON objects. White space between objects is optional, and
 * the byte stream may be split into chunks at any position. Not thread-safe.
 */
public final class JsonObjectReader {
    private static final int MAX_DEPTH = 64;
    private static final int MAX_STRING_LENGTH = 1 << 20;
    private static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxStringLength(MAX_STRING_LENGTH)
                                    .build())
                    .build();

    private final int maxObjectBytes;
    private final int maxObjectValues;
    private final JsonParser parser;
    private final Deque<OpenContainer> openContainers = new ArrayDeque<>();
    private int bytesSinceLastObject;
    private int valuesSinceLastObject;

    /** An incomplete object or array; exactly one of the two components is not null. */
    private record OpenContainer(String name, Map<String, Object> fields, List<Object> elements) {
        static OpenContainer object(String name) {
            return new OpenContainer(name, new LinkedHashMap<>(), null);
        }

        static OpenContainer array(String name) {
            return new OpenContainer(name, null, new ArrayList<>());
        }

        Object value() {
            return fields != null ? fields : elements;
        }

        void add(String childName, Object child) {
            if (fields != null) {
                fields.put(childName, child);
            } else {
                elements.add(child);
            }
        }
    }

    /**
     * Creates a reader.
     *
     * @param maxObjectBytes the largest size of one object, in bytes
     * @param maxObjectValues the largest number of values in one object, each of which takes more
     *     memory than its text may have
     */
    public JsonObjectReader(int maxObjectBytes, int maxObjectValues) {
        this.maxObjectBytes = maxObjectBytes;
        this.maxObjectValues = maxObjectValues;
        try {
            this.parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Feeds bytes. Call {@link #next} until it returns null before feeding more.
     *
     * @param bytes the bytes received; the reader keeps no reference once {@code next} returns null
     * @throws InvalidMessageException if an object is larger than the limit
     */
    public void feed(byte[] bytes) throws InvalidMessageException {
        bytesSinceLastObject += bytes.length;
        if (!openContainers.isEmpty() && bytesSinceLastObject > maxObjectBytes) {
            throw new InvalidMessageException(
                    "an object of more than " + maxObjectBytes + " bytes");
        }
        try {
            ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
            feeder.feedInput(bytes, 0, bytes.length);
        } catch (IOException e) {
            throw new InvalidMessageException("unreadable JSON: " + e.getMessage());
        }
    }

    /** {@return whether the reader is between objects, with no object partially read} */
    public boolean isBetweenObjects() {
        return openContainers.isEmpty();
    }

    /**
     * Reads the next object.
     *
     * @return the next complete object, or null if more bytes are needed
     * @throws InvalidMessageException if the bytes are not valid JSON, or the value is no object
     */
    public JsonObject next() throws InvalidMessageException {
        try {
            JsonToken token = parser.nextToken();
            while (token != null && token != JsonToken.NOT_AVAILABLE) {
                Map<String, Object> complete = accept(token);
                if (complete != null) {
                    bytesSinceLastObject = 0;
                    valuesSinceLastObject = 0;
                    return JsonObject.of(complete);
                }
                token = parser.nextToken();
            }
            return null;
        } catch (JsonProcessingException e) {
            throw InvalidMessageException.malformedJson(e);
        } catch (IOException e) {
            throw new InvalidMessageException("unreadable JSON: " + e.getMessage());
        }
    }

    private void countValue() throws InvalidMessageException {
        if (++valuesSinceLastObject > maxObjectValues) {
            throw new InvalidMessageException(
                    "an object of more than " + maxObjectValues + " values");
        }
    }

    /** {@return the fields of the outermost object if this token ends it, else null} */
    private Map<String, Object> accept(JsonToken token)
            throws IOException, InvalidMessageException {
        if (openContainers.isEmpty() && token != JsonToken.START_OBJECT) {
            throw InvalidMessageException.malformedJson("an object was expected");
        }
        if (openContainers.size() > MAX_DEPTH) {
            throw InvalidMessageException.malformedJson("nested more than " + MAX_DEPTH + " deep");
        }
        if (token.isStructStart() || token.isScalarValue()) {
            countValue();
        }
        switch (token) {
            case START_OBJECT -> openContainers.push(OpenContainer.object(parser.currentName()));
            case START_ARRAY -> openContainers.push(OpenContainer.array(parser.currentName()));
            case END_OBJECT, END_ARRAY -> {
                OpenContainer ended = openContainers.pop();
                if (openContainers.isEmpty()) {
                    return ended.fields();
                }
                openContainers.peek().add(ended.name(), ended.value());
            }
            case FIELD_NAME -> {
                // The parser keeps the field name until it reads the value.
            }
            default ->
                    openContainers.peek().add(parser.currentName(), JsonObject.readScalar(parser));
        }
        return null;
    }
}

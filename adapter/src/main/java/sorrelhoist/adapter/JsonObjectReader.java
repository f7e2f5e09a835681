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
 * JSON objects one behind the other, however they are laid out and wherever their bytes are cut.
 */
public final class JsonObjectReader {
    private static final int MAX_DEPTH = 64;
    private static final int MAX_TEXT = 1 << 20;
    private static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxStringLength(MAX_TEXT).build())
                    .build();
    private final int mostBytes;
    private final JsonParser parser;
    private final Deque<Open> open = new ArrayDeque<>();
    private int bytes;

    /** An object or a list whose end has not come. */
    private record Open(String name, Map<String, Object> object, List<Object> list) {}

    /**
     * Makes a reader.
     *
     * @param maxObjectBytes of one object
     */
    public JsonObjectReader(int maxObjectBytes) {
        this.mostBytes = maxObjectBytes;
        try {
            this.parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Takes what came. Ask {@link #next} until it has nothing before giving more.
     *
     * @param some bytes; not used after {@code next} gave null
     * @throws InvalidMessageException where an object is larger than the limit
     */
    public void feed(byte[] some) throws InvalidMessageException {
        bytes += some.length;
        if (!open.isEmpty() && bytes > mostBytes) {
            throw new InvalidMessageException("an object of more than " + mostBytes + " bytes");
        }
        try {
            ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(some, 0, some.length);
        } catch (IOException e) {
            throw new InvalidMessageException("unreadable JSON: " + e.getMessage());
        }
    }

    /** {@return whether no object has begun whose end has not come} */
    public boolean isBetweenObjects() {
        return open.isEmpty();
    }

    /**
     * Reads on.
     *
     * @return the next whole object, or null where more bytes are needed
     * @throws InvalidMessageException where it is no JSON, or something else than objects
     */
    public JsonObject next() throws InvalidMessageException {
        try {
            for (JsonToken t = parser.nextToken();
                    t != null && t != JsonToken.NOT_AVAILABLE;
                    t = parser.nextToken()) {
                Map<String, Object> whole = take(t);
                if (whole != null) {
                    bytes = 0;
                    return JsonObject.of(whole);
                }
            }
            return null;
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException(
                    "malformed JSON: " + e.getOriginalMessage().replaceAll("\\s+", " "));
        } catch (IOException e) {
            throw new InvalidMessageException("unreadable JSON: " + e.getMessage());
        }
    }

    private Map<String, Object> take(JsonToken t) throws IOException, InvalidMessageException {
        if (open.isEmpty() && t != JsonToken.START_OBJECT) {
            throw new InvalidMessageException("malformed JSON: an object was expected");
        }
        if (open.size() > MAX_DEPTH) {
            throw new InvalidMessageException(
                    "malformed JSON: nested more than " + MAX_DEPTH + " deep");
        }
        if (t == JsonToken.START_OBJECT) {
            open.push(new Open(parser.currentName(), new LinkedHashMap<>(), null));
        } else if (t == JsonToken.START_ARRAY) {
            open.push(new Open(parser.currentName(), null, new ArrayList<>()));
        } else if (t == JsonToken.END_OBJECT || t == JsonToken.END_ARRAY) {
            Open ended = open.pop();
            if (open.isEmpty()) {
                return ended.object;
            }
            put(ended.name, ended.object != null ? ended.object : ended.list);
        } else if (t != JsonToken.FIELD_NAME) {
            put(parser.currentName(), JsonObject.scalar(parser));
        }
        return null;
    }

    private void put(String name, Object value) {
        Open in = open.peek();
        if (in.object != null) {
            in.object.put(name, value);
        } else {
            in.list.add(value);
        }
    }
}

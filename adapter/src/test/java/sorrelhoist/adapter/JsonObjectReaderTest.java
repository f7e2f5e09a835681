package sorrelhoist.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectReaderTest {
    private static final String TWO =
            "{\"rev\":41,\"all\":true,\"targets\":[{\"uid\":\"s-\u00e9\",\"load\":0.5}]}\n\n\n"
                    + "{\n"
                    + "  \"rev\" : 42,\r\n"
                    + "  \"all\": false,\n"
                    + "  \"targets\": [\n"
                    + "    {\n"
                    + "      \"uid\": \"t\"\n"
                    + "    }\n"
                    + "  ]\n"
                    + "}\n";

    @Test
    void objectsDoNotDependOnWhiteSpaceOrChunks() throws InvalidMessageException {
        byte[] all = TWO.getBytes(StandardCharsets.UTF_8);
        for (int size = 1; size <= all.length; size++) {
            JsonObjectReader reader = new JsonObjectReader(1000, 1000);
            List<JsonObject> seen = new ArrayList<>();
            for (int at = 0; at < all.length; at += size) {
                reader.feed(Arrays.copyOfRange(all, at, Math.min(all.length, at + size)));
                for (JsonObject f = reader.next(); f != null; f = reader.next()) {
                    seen.add(f);
                }
            }
            assertEquals(2, seen.size(), "chunk size " + size);
            assertEquals(41, seen.get(0).getLong("rev", 0));
            assertEquals("s-\u00e9", seen.get(0).getObjects("targets").get(0).getString("uid"));
            assertEquals(0.5, seen.get(0).getObjects("targets").get(0).getDouble("load", 0));
            assertEquals(42, seen.get(1).getLong("rev", 0));
            assertEquals("t", seen.get(1).getObjects("targets").get(0).getString("uid"));
        }
    }

    @Test
    void nonObjectsAndTooLargeObjectsAreRejected() throws InvalidMessageException {
        for (String bad :
                new String[] {
                    "[1]", "{\"a\":}", "noise\n", "\"text\"", "7 ", "{\"a\":" + "[".repeat(80)
                }) {
            JsonObjectReader reader = new JsonObjectReader(1000, 1000);
            reader.feed(bad.getBytes(StandardCharsets.UTF_8));
            assertThrows(InvalidMessageException.class, reader::next, bad);
        }
        JsonObjectReader reader = new JsonObjectReader(1000, 1000);
        assertThrows(
                InvalidMessageException.class,
                () -> {
                    for (int i = 0; i < 100; i++) {
                        reader.feed(
                                (i == 0 ? "{\"a\":[" : "1,".repeat(20))
                                        .getBytes(StandardCharsets.UTF_8));
                        reader.next();
                    }
                });
    }

    @Test
    void sizeLimitAppliesToEachObjectOfALongStream() throws InvalidMessageException {
        JsonObjectReader reader = new JsonObjectReader(100, 3);
        for (int i = 0; i < 1000; i++) {
            reader.feed("\n{\"rev\":1}\n{\"r".getBytes(StandardCharsets.UTF_8));
            assertEquals(1, reader.next().getLong("rev", 0));
            reader.next();
            reader.feed("ev\":2}".getBytes(StandardCharsets.UTF_8));
            assertEquals(2, reader.next().getLong("rev", 0));
            reader.next();
        }
    }

    /** Guards against an object whose values take many times the memory of its text. */
    @Test
    void theNumberOfValuesInAnObjectIsLimited() throws InvalidMessageException {
        for (String value : new String[] {"{}", "[]", "1", "{\"a\":null}"}) {
            JsonObjectReader reader = new JsonObjectReader(1_000_000, 1_000);
            reader.feed(
                    ("{\"a\":[" + (value + ",").repeat(2_000)).getBytes(StandardCharsets.UTF_8));
            assertThrows(InvalidMessageException.class, reader::next, value);
        }
    }
}

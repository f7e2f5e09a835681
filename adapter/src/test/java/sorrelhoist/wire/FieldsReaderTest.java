package sorrelhoist.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class FieldsReaderTest {
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
    void objectsAreTheSameHoweverTheyAreLaidOutAndCut() throws WireException {
        byte[] all = TWO.getBytes(StandardCharsets.UTF_8);
        for (int size = 1; size <= all.length; size++) {
            FieldsReader reader = new FieldsReader(1000);
            List<Fields> seen = new ArrayList<>();
            for (int at = 0; at < all.length; at += size) {
                reader.add(Arrays.copyOfRange(all, at, Math.min(all.length, at + size)));
                for (Fields f = reader.next(); f != null; f = reader.next()) {
                    seen.add(f);
                }
            }
            assertEquals(2, seen.size(), "pieces of " + size);
            assertEquals(41, seen.get(0).whole("rev", 0));
            assertEquals("s-\u00e9", seen.get(0).rows("targets").get(0).text("uid"));
            assertEquals(0.5, seen.get(0).rows("targets").get(0).number("load", 0));
            assertEquals(42, seen.get(1).whole("rev", 0));
            assertEquals("t", seen.get(1).rows("targets").get(0).text("uid"));
        }
    }

    @Test
    void whatIsNoObjectOrTooLargeIsRefused() throws WireException {
        for (String bad :
                new String[] {
                    "[1]", "{\"a\":}", "noise\n", "\"text\"", "7 ", "{\"a\":" + "[".repeat(80)
                }) {
            FieldsReader reader = new FieldsReader(1000);
            reader.add(bad.getBytes(StandardCharsets.UTF_8));
            assertThrows(WireException.class, reader::next, bad);
        }
        FieldsReader reader = new FieldsReader(1000);
        assertThrows(
                WireException.class,
                () -> {
                    for (int i = 0; i < 100; i++) {
                        reader.add(
                                (i == 0 ? "{\"a\":[" : "1,".repeat(20))
                                        .getBytes(StandardCharsets.UTF_8));
                        reader.next();
                    }
                });
    }

    @Test
    void aLongWatchOfSmallObjectsIsNeverTooLarge() throws WireException {
        FieldsReader reader = new FieldsReader(100);
        for (int i = 0; i < 1000; i++) {
            reader.add("\n{\"rev\":1}\n{\"r".getBytes(StandardCharsets.UTF_8));
            assertEquals(1, reader.next().whole("rev", 0));
            reader.next();
            reader.add("ev\":2}".getBytes(StandardCharsets.UTF_8));
            assertEquals(2, reader.next().whole("rev", 0));
            reader.next();
        }
    }
}

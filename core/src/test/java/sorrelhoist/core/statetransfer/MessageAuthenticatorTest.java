package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Authentication tags of messages, also during a rotation of keys. */
class MessageAuthenticatorTest {
    @Test
    void tagsAreValidDuringAKeyRotationAndForNoOtherMessage() {
        Map<String, String> oldKeys = Map.of("a", "0123456789abcdef");
        Map<String, String> bothKeys = new LinkedHashMap<>();
        bothKeys.put("b", "fedcba9876543210");
        bothKeys.put("a", "0123456789abcdef");
        MessageAuthenticator before = new MessageAuthenticator(oldKeys);
        MessageAuthenticator after = new MessageAuthenticator(bothKeys);
        byte[] piece = {1, 2, 3};
        byte[] tag = before.sign("x", "y", 7, 0, piece);
        assertTrue(after.verify("a", tag, "x", "y", 7, 0, piece));
        assertFalse(before.verify("b", after.sign("x", "y", 7, 0, piece), "x", "y", 7, 0, piece));
        assertFalse(after.verify("a", tag, "x", "z", 7, 0, piece));
        assertFalse(after.verify("a", tag, "xy", "", 7, 0, piece));
        assertFalse(after.verify("a", tag, "x", "y", 8, 0, piece));
        assertFalse(after.verify("a", tag, "x", "y", 7, 1, piece));
        assertFalse(after.verify("a", tag, "x", "y", 7, 0, new byte[] {1, 2, 4}));
        assertFalse(after.verify("a", new byte[0], "x", "y", 7, 0, piece));
    }

    @Test
    void shortKeysAndNoKeysAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new MessageAuthenticator(Map.of("a", "short")));
        assertThrows(IllegalArgumentException.class, () -> new MessageAuthenticator(Map.of()));
    }
}

package sorrelhoist.core.text;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Estimated tokens by the UTF-8 length of a text. */
class TokenEstimatorTest {
    @Test
    void fourBytesOfUtf8AreOneToken() {
        assertEquals(0, TokenEstimator.estimate(""));
        assertEquals(1, TokenEstimator.estimate("abcd"));
        assertEquals(2, TokenEstimator.estimate("abcde"));
        String text = "a \u00e9 \u20ac \ud83d\ude00";
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        assertEquals((bytes + 3) / 4, TokenEstimator.estimate(text));
    }
}

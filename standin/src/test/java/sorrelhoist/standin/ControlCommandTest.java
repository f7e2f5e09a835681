package sorrelhoist.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ControlCommandTest {
    @Test
    void argumentsAreSeparatedByAnySpaces() {
        ControlCommand command = ControlCommand.parse("  slow  2.5 \t 300 ");
        assertEquals("slow", command.name());
        assertEquals(2.5, command.number(1));
        assertEquals(300_000, command.durationMicros(2));
    }

    @Test
    void aMissingOrMalformedDurationIsRejected() {
        ControlCommand command = ControlCommand.parse("hang soon");
        assertThrows(IllegalArgumentException.class, () -> command.durationMicros(1));
        assertThrows(IllegalArgumentException.class, () -> command.durationMicros(2));
    }

    @Test
    void anEmptyLineHasAnEmptyName() {
        assertEquals("", ControlCommand.parse("").name());
    }
}

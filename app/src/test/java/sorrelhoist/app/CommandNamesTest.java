package sorrelhoist.app;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Commands are accepted under their names, and for one release under their former names. */
class CommandNamesTest {
    private final CommandLine line = Main.commandLine();

    @ParameterizedTest
    @CsvSource({"ask,request", "day,scenario", "wirehost,simulator-adapter"})
    void aFormerNameRunsTheSameCommandAndIsNotShownInHelp(String former, String name) {
        Map<String, CommandLine> commands = line.getSubcommands();
        assertSame(
                commands.get(name).getCommand().getClass(),
                commands.get(former).getCommand().getClass());
        assertTrue(line.getUsageMessage().contains("\n  " + name + " "), line.getUsageMessage());
        assertFalse(line.getUsageMessage().contains("\n  " + former + " "), line.getUsageMessage());
    }

    @Test
    void aFormerNameKeepsItsSubcommands() {
        CommandLine day = line.getSubcommands().get("day");
        assertTrue(day.getSubcommands().keySet().containsAll(Set.of("run", "show")));
    }
}

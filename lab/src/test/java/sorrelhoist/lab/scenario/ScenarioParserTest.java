package sorrelhoist.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.load.OpenLoopLoad;

/** Scenarios are parsed, and their errors are reported with line and column. */
class ScenarioParserTest {
    private static final String FLEET =
            "fleet { zone a { edges 1 rack r { readers 2 writers 1 } } }\n";

    private static List<String> errors(String body) {
        return assertThrows(
                        ScenarioParser.InvalidScenarioException.class,
                        () -> ScenarioParser.parse("day \"x\" {\n" + body + "}"))
                .errors();
    }

    @Test
    void aScenarioIsReadWithItsActionsByTime() throws ScenarioParser.InvalidScenarioException {
        Scenario d =
                ScenarioParser.parse(
                        "# comment\nday \"two words\" { seed 7 length 10s "
                                + FLEET
                                + "load chat { rate 2.5 prompt 10..20 answer 3..4 sessions 5"
                                + " prefixes 2 of 100 timeout 500ms }\n"
                                + "at 4s crash writer any for 1.5s at 250ms slow reader 2 by 3 for"
                                + " 2s at 1s cut rack r for 1s\n"
                                + "at 2s registry lag 500ms for 1s }");
        assertEquals("two words", d.name());
        assertEquals(7, d.seed());
        assertEquals(
                List.of("slow", "cut", "lag", "crash"),
                d.actions().stream().map(Scenario.ScheduledAction::action).toList());
        assertEquals(250_000, d.actions().get(0).at());
        assertEquals(3.0, d.actions().get(0).amount());
        assertEquals(500.0, d.actions().get(2).amount());
        assertEquals(500_000, d.loads().get(0).timeout());
        assertEquals(2.5, d.loads().get(0).rate());
    }

    @Test
    void errorsHaveLineAndColumn() {
        assertTrue(errors("seed x\n").get(0).startsWith("2:6: "));
        assertEquals(
                "3:24: the range ends before it begins",
                errors(FLEET + "load c { rate 1 prompt 9..3 }\n").get(0));
        assertEquals(
                "4:16: 3 is out of range: give 1 to 2",
                errors(FLEET + "load c { rate 1 }\nat 1s crash    reader 3\n").get(0));
        assertEquals(
                "4:7: no rack is called \"z\"",
                errors(FLEET + "load c { rate 1 }\nat 1s cut rack z for 1s\n").get(0));
        assertTrue(
                errors(FLEET + "load c { rate 1 }\nat 1s lose writer any share 1.5 for 1s\n")
                        .get(0)
                        .contains("from 0 to 1"));
        assertTrue(
                errors(FLEET + "load c { rate 1 }\nat 99s kill planner for 1s\n")
                        .get(0)
                        .contains("length"));
    }

    @Test
    void severalErrorsAreReportedAtOnce() {
        List<String> all = errors("fleet { zone a { rack r { readers 0 writers 0 } } }\n");
        assertEquals(3, all.size(), all.toString());
    }

    @Test
    void theLoadFollowsFromTheSeedAlone() throws ScenarioParser.InvalidScenarioException {
        String text =
                "day \"x\" { seed 3 length 20s "
                        + FLEET
                        + "load c { rate 20 cancels 0.5 }\n"
                        + "at 5s burst by 2 for 5s }";
        Scenario d = ScenarioParser.parse(text);
        List<OpenLoopLoad.PlannedRequest> plan = OpenLoopLoad.plan(d, 2);
        assertEquals(plan, OpenLoopLoad.plan(ScenarioParser.parse(text), 2));
        long in = plan.stream().filter(p -> p.at() >= 5_000_000 && p.at() < 10_000_000).count();
        long before = plan.stream().filter(p -> p.at() < 5_000_000).count();
        assertTrue(in > 1.5 * before, in + " against " + before);
        assertTrue(plan.stream().anyMatch(p -> p.cancelsAtToken() > 0));
        assertTrue(plan.stream().anyMatch(p -> p.edge() == 1));
    }
}

package sorrelhoist.lab.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;

/** Parses scenarios; all errors of a text are reported at once, with line and column. */
public final class ScenarioParser {
    /** A scenario's text that has errors. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> errors;

        InvalidScenarioException(List<String> errors) {
            super(String.join("\n", errors));
            this.errors = errors;
        }

        /** {@return each error, as line:column: what} */
        public List<String> errors() {
            return errors;
        }
    }

    private final ParseErrors errors = new ParseErrors();
    private final ValueReader values = new ValueReader(errors);
    private final FleetReader fleet = new FleetReader(values);
    private final ActionReader actionReader = new ActionReader(values, fleet, errors);
    private final List<Scenario.Load> loads = new ArrayList<>();
    private final List<Scenario.ScheduledAction> actions = new ArrayList<>();
    private long seed = 1;
    private long lengthMicros = 20_000_000;

    private ScenarioParser() {}

    /**
     * Parses a scenario.
     *
     * @param text its text
     * @return the scenario, its actions by time
     * @throws InvalidScenarioException if the text has errors
     */
    public static Scenario parse(String text) throws InvalidScenarioException {
        return new ScenarioParser().read(text);
    }

    private Scenario read(String text) throws InvalidScenarioException {
        DayLanguageParser.DayContext day = syntaxTree(text);
        errors.throwIfAny();
        day.item().forEach(this::readItem);
        check(day);
        errors.throwIfAny();
        actions.sort(Comparator.comparingLong(Scenario.ScheduledAction::at));
        String name = values.unquoted(day.STRING().getText());
        return new Scenario(name, seed, lengthMicros, fleet.zones(), loads, actions);
    }

    private DayLanguageParser.DayContext syntaxTree(String text) {
        DayLanguageLexer lexer = new DayLanguageLexer(CharStreams.fromString(text));
        DayLanguageParser parser = new DayLanguageParser(new CommonTokenStream(lexer));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errors);
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        return parser.day();
    }

    private void readItem(DayLanguageParser.ItemContext item) {
        if (item instanceof DayLanguageParser.SeedContext i) {
            seed = values.integer(i, i.INT().getText(), 0, Integer.MAX_VALUE);
        } else if (item instanceof DayLanguageParser.LengthContext i) {
            lengthMicros = values.micros(i.time());
        } else if (item instanceof DayLanguageParser.FleetContext i) {
            fleet.read(i);
        } else if (item instanceof DayLanguageParser.LoadContext i) {
            loads.add(new LoadReader(values, errors).read(i));
        } else if (item instanceof DayLanguageParser.EventContext i) {
            actions.add(actionReader.read(i, lengthMicros));
        }
    }

    private void check(DayLanguageParser.DayContext day) {
        if (fleet.edges() == 0) {
            errors.add(day, "the fleet has no edges: give \"edges N\" in a zone");
        }
        if (fleet.engines("reader") == 0 || fleet.engines("writer") == 0) {
            errors.add(day, "the fleet needs a reader and a writer at least");
        }
        if (loads.isEmpty()) {
            errors.add(day, "there is no load: give \"load CLASS { rate N }\"");
        }
    }
}

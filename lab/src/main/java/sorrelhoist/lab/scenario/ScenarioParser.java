package sorrelhoist.lab.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;

/** Reads a day file; all that is wrong with it is told at once, with line and column. */
public final class ScenarioParser {
    /** What is wrong with a day file. */
    public static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> errors;

        InvalidScenarioException(List<String> faults) {
            super(String.join("\n", faults));
            this.errors = faults;
        }

        /** {@return each fault, as line:column: what} */
        public List<String> errors() {
            return errors;
        }
    }

    private final List<String> faults = new ArrayList<>();
    private long seed = 1;
    private long length = 20_000_000;
    private final List<Scenario.Zone> zones = new ArrayList<>();
    private final List<Scenario.Load> loads = new ArrayList<>();
    private final List<Scenario.ScheduledAction> events = new ArrayList<>();

    private ScenarioParser() {}

    /**
     * Reads a day.
     *
     * @param text the file's text
     * @return the day, its events by time
     * @throws InvalidScenarioException where something is wrong
     */
    public static Scenario parse(String text) throws InvalidScenarioException {
        return new ScenarioParser().read(text);
    }

    private Scenario read(String text) throws InvalidScenarioException {
        BaseErrorListener listener =
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> recognizer,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException e) {
                        faults.add(line + ":" + (column + 1) + ": " + message);
                    }
                };
        DayLanguageLexer lexer = new DayLanguageLexer(CharStreams.fromString(text));
        DayLanguageParser parser = new DayLanguageParser(new CommonTokenStream(lexer));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        DayLanguageParser.DayContext tree = parser.day();
        if (!faults.isEmpty()) {
            throw new InvalidScenarioException(faults);
        }
        tree.item().forEach(this::item);
        check(tree);
        if (!faults.isEmpty()) {
            throw new InvalidScenarioException(faults);
        }
        events.sort(Comparator.comparingLong(Scenario.ScheduledAction::at));
        String name = tree.STRING().getText();
        return new Scenario(
                name.substring(1, name.length() - 1), seed, length, zones, loads, events);
    }

    private void fault(ParserRuleContext at, String what) {
        faults.add(
                at.getStart().getLine()
                        + ":"
                        + (at.getStart().getCharPositionInLine() + 1)
                        + ": "
                        + what);
    }

    private void check(DayLanguageParser.DayContext tree) {
        if (zones.stream().mapToInt(Scenario.Zone::edges).sum() == 0) {
            fault(tree, "the fleet has no edges: give \"edges N\" in a zone");
        }
        if (count("reader") == 0 || count("writer") == 0) {
            fault(tree, "the fleet needs a reader and a writer at least");
        }
        if (loads.isEmpty()) {
            fault(tree, "there is no load: give \"load CLASS { rate N }\"");
        }
    }

    private int count(String role) {
        return zones.stream()
                .flatMap(z -> z.racks().stream())
                .mapToInt(
                        r ->
                                role.equals("reader")
                                        ? r.readers()
                                        : role.equals("writer")
                                                ? r.writers()
                                                : r.readers() + r.writers())
                .sum();
    }

    private void item(DayLanguageParser.ItemContext item) {
        if (item instanceof DayLanguageParser.SeedContext c) {
            seed = whole(c, c.INT().getText(), 0, Integer.MAX_VALUE);
        } else if (item instanceof DayLanguageParser.LengthContext c) {
            length = time(c.time());
        } else if (item instanceof DayLanguageParser.FleetContext c) {
            c.zone().forEach(this::zone);
        } else if (item instanceof DayLanguageParser.LoadContext c) {
            load(c);
        } else if (item instanceof DayLanguageParser.EventContext c) {
            event(c);
        }
    }

    private void zone(DayLanguageParser.ZoneContext z) {
        List<Scenario.Rack> racks = new ArrayList<>();
        for (DayLanguageParser.RackContext r : z.rack()) {
            racks.add(
                    new Scenario.Rack(
                            name(r.name()),
                            (int) whole(r, r.INT(0).getText(), 0, 64),
                            (int) whole(r, r.INT(1).getText(), 0, 64)));
        }
        int edges = z.INT() == null ? 0 : (int) whole(z, z.INT().getText(), 0, 16);
        zones.add(new Scenario.Zone(name(z.name()), edges, racks));
    }

    private void load(DayLanguageParser.LoadContext c) {
        double rate = 5;
        int[] prompt = {50, 200};
        int[] answer = {10, 40};
        int sessions = 20;
        int[] prefixes = {0, 0};
        long timeout = 4_000_000;
        double cancels = 0;
        for (DayLanguageParser.LoadItemContext i : c.loadItem()) {
            if (i instanceof DayLanguageParser.RateContext r) {
                rate = number(r.number());
            } else if (i instanceof DayLanguageParser.PromptContext r) {
                prompt = range(r.range());
            } else if (i instanceof DayLanguageParser.AnswerContext r) {
                answer = range(r.range());
            } else if (i instanceof DayLanguageParser.SessionsContext r) {
                sessions = (int) whole(r, r.INT().getText(), 1, 100_000);
            } else if (i instanceof DayLanguageParser.PrefixesContext r) {
                prefixes =
                        new int[] {
                            (int) whole(r, r.INT(0).getText(), 0, 10_000),
                            (int) whole(r, r.INT(1).getText(), 1, 30_000)
                        };
            } else if (i instanceof DayLanguageParser.TimeoutContext r) {
                timeout = time(r.time());
            } else if (i instanceof DayLanguageParser.CancelsContext r) {
                cancels = share(r, r.number());
            }
        }
        if (rate <= 0 || rate > 10_000) {
            fault(c, "a rate has to be above 0 and at most 10000");
        }
        loads.add(
                new Scenario.Load(
                        name(c.name()),
                        rate,
                        prompt[0],
                        prompt[1],
                        answer[0],
                        answer[1],
                        sessions,
                        prefixes[0],
                        prefixes[1],
                        timeout,
                        cancels));
    }

    private void event(DayLanguageParser.EventContext e) {
        long at = time(e.time());
        int line = e.getStart().getLine();
        DayLanguageParser.DeedContext d = e.deed();
        if (d instanceof DayLanguageParser.CrashContext c) {
            add(at, "crash", c.target(), 0, c.time(), line);
        } else if (d instanceof DayLanguageParser.CutContext c) {
            String rack = name(c.name());
            if (zones.stream()
                    .flatMap(z -> z.racks().stream())
                    .noneMatch(r -> r.name().equals(rack))) {
                fault(c, "no rack is called \"" + rack + "\"");
            }
            events.add(
                    new Scenario.ScheduledAction(at, "cut", "rack", rack, 0, time(c.time()), line));
        } else if (d instanceof DayLanguageParser.SlowContext c) {
            add(at, "slow", c.target(), number(c.number()), c.time(), line);
        } else if (d instanceof DayLanguageParser.HangContext c) {
            add(at, "hang", c.target(), 0, c.time(), line);
        } else if (d instanceof DayLanguageParser.ErrorsContext c) {
            add(at, "errors", c.target(), share(c, c.number()), c.time(), line);
        } else if (d instanceof DayLanguageParser.LoseContext c) {
            add(at, "lose", c.target(), share(c, c.number()), c.time(), line);
        } else if (d instanceof DayLanguageParser.FlushContext c) {
            add(at, "flush", c.target(), share(c, c.number()), null, line);
        } else if (d instanceof DayLanguageParser.DrainContext c) {
            add(at, "drain", c.target(), 0, c.time(), line);
        } else if (d instanceof DayLanguageParser.BurstContext c) {
            events.add(
                    new Scenario.ScheduledAction(
                            at, "burst", "load", "", number(c.number()), time(c.time()), line));
        } else if (d instanceof DayLanguageParser.KillEdgeContext c) {
            int edges = zones.stream().mapToInt(Scenario.Zone::edges).sum();
            long edge = whole(c, c.INT().getText(), 1, Math.max(1, edges));
            events.add(
                    new Scenario.ScheduledAction(
                            at, "kill", "edge", "" + edge, 0, time(c.time()), line));
        } else if (d instanceof DayLanguageParser.KillPlannerContext c) {
            events.add(
                    new Scenario.ScheduledAction(
                            at, "kill", "planner", "", 0, time(c.time()), line));
        } else if (d instanceof DayLanguageParser.RegistryContext c) {
            events.add(
                    new Scenario.ScheduledAction(
                            at, c.how.getText(), "registry", "", 0, time(c.time()), line));
        } else if (d instanceof DayLanguageParser.RegistryLagContext c) {
            events.add(
                    new Scenario.ScheduledAction(
                            at,
                            "lag",
                            "registry",
                            "",
                            time(c.time(0)) / 1000.0,
                            time(c.time(1)),
                            line));
        }
        if (at > length) {
            fault(e, "this comes after the day's length of " + length / 1000 + " ms");
        }
    }

    private void add(
            long at,
            String deed,
            DayLanguageParser.TargetContext t,
            double amount,
            DayLanguageParser.TimeContext span,
            int line) {
        String pick = t.pick().getText();
        if (pick.matches("[0-9]+")) {
            whole(t, pick, 1, Math.max(1, count(t.which.getText())));
        }
        events.add(
                new Scenario.ScheduledAction(
                        at,
                        deed,
                        t.which.getText(),
                        pick,
                        amount,
                        span == null ? 0 : time(span),
                        line));
    }

    private long whole(ParserRuleContext at, String text, long least, long most) {
        long value = text.length() > 12 ? Long.MAX_VALUE : Long.parseLong(text);
        if (value < least || value > most) {
            fault(at, text + " is out of range: give " + least + " to " + most);
            return least;
        }
        return value;
    }

    private int[] range(DayLanguageParser.RangeContext r) {
        int low = (int) whole(r, r.INT(0).getText(), 1, 100_000);
        int high = (int) whole(r, r.INT(1).getText(), 1, 100_000);
        if (low > high) {
            fault(r, "the range ends before it begins");
        }
        return new int[] {low, Math.max(low, high)};
    }

    private double share(ParserRuleContext at, DayLanguageParser.NumberContext n) {
        double value = number(n);
        if (value > 1) {
            fault(at, "a share is a number from 0 to 1");
        }
        return Math.min(1, value);
    }

    private static double number(DayLanguageParser.NumberContext n) {
        return Double.parseDouble(n.getText());
    }

    private static long time(DayLanguageParser.TimeContext t) {
        double value = Double.parseDouble(t.getChild(0).getText());
        return (long) (value * (t.unit.getText().equals("s") ? 1_000_000 : 1000));
    }

    private static String name(DayLanguageParser.NameContext n) {
        String text = n.getText();
        return text.startsWith("\"") ? text.substring(1, text.length() - 1) : text;
    }
}

package sorrelhoist.lab.scenario;

import sorrelhoist.lab.scenario.Scenario.ScheduledAction;

/** Reads what happens to a fleet over time. */
final class ActionReader {
    private static final long FOR_EVER = 0;
    private static final double MICROS_PER_MILLI = 1000.0;
    private final ValueReader values;
    private final FleetReader fleet;
    private final ParseErrors errors;

    ActionReader(ValueReader values, FleetReader fleet, ParseErrors errors) {
        this.values = values;
        this.fleet = fleet;
        this.errors = errors;
    }

    /**
     * Reads an action.
     *
     * @param event its text
     * @param lengthMicros the scenario's length, within which it has to begin
     * @return the action
     */
    ScheduledAction read(DayLanguageParser.EventContext event, long lengthMicros) {
        Builder builder = new Builder(values.micros(event.time()), event.getStart().getLine());
        ScheduledAction action = onEngines(event.deed(), builder);
        if (action == null) {
            action = onOthers(event.deed(), builder);
        }
        if (action.at() > lengthMicros) {
            long lengthMillis = lengthMicros / (long) MICROS_PER_MILLI;
            errors.add(event, "this comes after the day's length of " + lengthMillis + " ms");
        }
        return action;
    }

    /** {@return the action, or null if it is not one on engines} */
    private ScheduledAction onEngines(DayLanguageParser.DeedContext deed, Builder builder) {
        if (deed instanceof DayLanguageParser.CrashContext d) {
            return builder.onEngine("crash", d.target(), 0, d.time());
        } else if (deed instanceof DayLanguageParser.SlowContext d) {
            return builder.onEngine("slow", d.target(), values.number(d.number()), d.time());
        } else if (deed instanceof DayLanguageParser.HangContext d) {
            return builder.onEngine("hang", d.target(), 0, d.time());
        } else if (deed instanceof DayLanguageParser.ErrorsContext d) {
            double share = values.share(d, d.number());
            return builder.onEngine("errors", d.target(), share, d.time());
        } else if (deed instanceof DayLanguageParser.LoseContext d) {
            double share = values.share(d, d.number());
            return builder.onEngine("lose", d.target(), share, d.time());
        } else if (deed instanceof DayLanguageParser.FlushContext d) {
            return builder.onEngine("flush", d.target(), values.share(d, d.number()), null);
        } else if (deed instanceof DayLanguageParser.DrainContext d) {
            return builder.onEngine("drain", d.target(), 0, d.time());
        }
        return null;
    }

    private ScheduledAction onOthers(DayLanguageParser.DeedContext deed, Builder builder) {
        if (deed instanceof DayLanguageParser.CutContext d) {
            String rack = values.name(d.name());
            if (!fleet.hasRack(rack)) {
                errors.add(d, "no rack is called \"" + rack + "\"");
            }
            return builder.on("rack", rack, "cut", 0, d.time());
        } else if (deed instanceof DayLanguageParser.BurstContext d) {
            return builder.on("load", "", "burst", values.number(d.number()), d.time());
        } else if (deed instanceof DayLanguageParser.KillEdgeContext d) {
            int edges = Math.max(1, fleet.edges());
            int edge = values.integer(d, d.INT().getText(), 1, edges);
            return builder.on("edge", Integer.toString(edge), "kill", 0, d.time());
        } else if (deed instanceof DayLanguageParser.KillPlannerContext d) {
            return builder.on("planner", "", "kill", 0, d.time());
        } else if (deed instanceof DayLanguageParser.RegistryContext d) {
            return builder.on("registry", "", d.how.getText(), 0, d.time());
        } else if (deed instanceof DayLanguageParser.RegistryLagContext d) {
            double lagMillis = values.micros(d.time(0)) / MICROS_PER_MILLI;
            return builder.on("registry", "", "lag", lagMillis, d.time(1));
        }
        throw new IllegalStateException("the grammar has an action that is not read: " + deed);
    }

    /** Builds the action of one event, whose time and line are known. */
    private final class Builder {
        private final long at;
        private final int line;

        Builder(long at, int line) {
            this.at = at;
            this.line = line;
        }

        ScheduledAction on(
                String target,
                String selector,
                String action,
                double amount,
                DayLanguageParser.TimeContext time) {
            long duration = time == null ? FOR_EVER : values.micros(time);
            return new ScheduledAction(at, action, target, selector, amount, duration, line);
        }

        ScheduledAction onEngine(
                String action,
                DayLanguageParser.TargetContext target,
                double amount,
                DayLanguageParser.TimeContext time) {
            String kind = target.which.getText();
            String selector = target.pick().getText();
            if (selector.matches("[0-9]+")) {
                values.integer(target, selector, 1, Math.max(1, fleet.engines(kind)));
            }
            return on(kind, selector, action, amount, time);
        }
    }
}

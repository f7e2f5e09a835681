package sorrelhoist.lab.scenario;

import sorrelhoist.lab.scenario.ValueReader.TokenRange;

/** Reads the load of one class; what its text does not give has a default. */
final class LoadReader {
    private static final int MAX_RATE = 10_000;
    private static final int MAX_SESSIONS = 100_000;
    private static final int MAX_PREFIXES = 10_000;
    private static final int MAX_PREFIX_TOKENS = 30_000;
    private final ValueReader values;
    private final ParseErrors errors;
    private double rate = 5;
    private TokenRange prompt = new TokenRange(50, 200);
    private TokenRange answer = new TokenRange(10, 40);
    private int sessions = 20;
    private int prefixes;
    private int prefixTokens;
    private long timeoutMicros = 4_000_000;
    private double cancelledShare;

    LoadReader(ValueReader values, ParseErrors errors) {
        this.values = values;
        this.errors = errors;
    }

    Scenario.Load read(DayLanguageParser.LoadContext load) {
        load.loadItem().forEach(this::readItem);
        if (rate <= 0 || rate > MAX_RATE) {
            errors.add(load, "a rate has to be above 0 and at most " + MAX_RATE);
        }
        return new Scenario.Load(
                values.name(load.name()),
                rate,
                prompt.low(),
                prompt.high(),
                answer.low(),
                answer.high(),
                sessions,
                prefixes,
                prefixTokens,
                timeoutMicros,
                cancelledShare);
    }

    private void readItem(DayLanguageParser.LoadItemContext item) {
        if (item instanceof DayLanguageParser.RateContext i) {
            rate = values.number(i.number());
        } else if (item instanceof DayLanguageParser.PromptContext i) {
            prompt = values.tokenRange(i.range());
        } else if (item instanceof DayLanguageParser.AnswerContext i) {
            answer = values.tokenRange(i.range());
        } else if (item instanceof DayLanguageParser.SessionsContext i) {
            sessions = values.integer(i, i.INT().getText(), 1, MAX_SESSIONS);
        } else if (item instanceof DayLanguageParser.PrefixesContext i) {
            prefixes = values.integer(i, i.INT(0).getText(), 0, MAX_PREFIXES);
            prefixTokens = values.integer(i, i.INT(1).getText(), 1, MAX_PREFIX_TOKENS);
        } else if (item instanceof DayLanguageParser.TimeoutContext i) {
            timeoutMicros = values.micros(i.time());
        } else if (item instanceof DayLanguageParser.CancelsContext i) {
            cancelledShare = values.share(i, i.number());
        }
    }
}

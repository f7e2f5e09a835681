package sorrelhoist.lab.scenario;

import org.antlr.v4.runtime.ParserRuleContext;

/** Reads the values of a scenario's text and checks their ranges. */
final class ValueReader {
    private static final int MAX_DIGITS = 12;
    private static final int MAX_TOKENS = 100_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1000;
    private final ParseErrors errors;

    /** A range of tokens, both ends included. */
    record TokenRange(int low, int high) {}

    ValueReader(ParseErrors errors) {
        this.errors = errors;
    }

    /** {@return a whole number, or the least allowed one if it is out of range} */
    int integer(ParserRuleContext at, String text, int least, int most) {
        long value = text.length() > MAX_DIGITS ? Long.MAX_VALUE : Long.parseLong(text);
        if (value < least || value > most) {
            errors.add(at, text + " is out of range: give " + least + " to " + most);
            return least;
        }
        return (int) value;
    }

    TokenRange tokenRange(DayLanguageParser.RangeContext range) {
        int low = integer(range, range.INT(0).getText(), 1, MAX_TOKENS);
        int high = integer(range, range.INT(1).getText(), 1, MAX_TOKENS);
        if (low > high) {
            errors.add(range, "the range ends before it begins");
        }
        return new TokenRange(low, Math.max(low, high));
    }

    double share(ParserRuleContext at, DayLanguageParser.NumberContext number) {
        double value = number(number);
        if (value > 1) {
            errors.add(at, "a share is a number from 0 to 1");
        }
        return Math.min(1, value);
    }

    double number(DayLanguageParser.NumberContext number) {
        return Double.parseDouble(number.getText());
    }

    /** {@return a time in microseconds} */
    long micros(DayLanguageParser.TimeContext time) {
        double value = Double.parseDouble(time.getChild(0).getText());
        boolean seconds = time.unit.getText().equals("s");
        return (long) (value * (seconds ? MICROS_PER_SECOND : MICROS_PER_MILLI));
    }

    /** {@return a name, without the quotes that it may have} */
    String name(DayLanguageParser.NameContext name) {
        return name.STRING() == null ? name.getText() : unquoted(name.getText());
    }

    String unquoted(String text) {
        return text.substring(1, text.length() - 1);
    }
}

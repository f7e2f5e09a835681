package sorrelhoist.standin;

import java.util.List;

/**
 * A command by which a fault is injected into a stand-in: a name and its arguments, separated by
 * spaces.
 */
public final class ControlCommand {
    private static final long MICROS_PER_MILLI = 1000;
    private final List<String> words;

    private ControlCommand(List<String> words) {
        this.words = words;
    }

    /** {@return the command in a line of text} */
    public static ControlCommand parse(String line) {
        return new ControlCommand(List.of(line.trim().split("\\s+")));
    }

    /** {@return its name; empty for an empty line} */
    public String name() {
        return words.get(0);
    }

    /**
     * Reads an argument that is a number.
     *
     * @param position from 1
     * @return the argument
     * @throws NumberFormatException if it is not a number
     */
    public double number(int position) {
        return Double.parseDouble(words.get(position));
    }

    /**
     * Reads an argument that is a duration in whole milliseconds.
     *
     * @param position from 1
     * @return the duration in microseconds
     * @throws IllegalArgumentException if it is missing or not a whole number
     */
    public long durationMicros(int position) {
        if (words.size() <= position) {
            throw new IllegalArgumentException("a time in milliseconds is missing");
        }
        return MICROS_PER_MILLI * Long.parseLong(words.get(position));
    }
}

package sorrelhoist.core.explain;

import java.util.Locale;
import sorrelhoist.routing.Reason;

/**
 * Describes the reason of a decision in plain text, for a client's status, a log line, or a
 * timeline.
 */
public final class ReasonFormatter {
    private static final double MICROS_PER_MILLI = 1000;

    /** Times below this limit are formatted as milliseconds with one decimal place. */
    private static final double ONE_DECIMAL_BELOW_MICROS = 100 * MICROS_PER_MILLI;

    private ReasonFormatter() {}

    /**
     * Describes why a request was rejected and when to retry.
     *
     * @param why the reason of the rejection
     * @param backoffMicros time after which to retry, in microseconds; 0 for no advice
     * @return one sentence for the client, without names of engines
     */
    public static String describeRejection(Reason why, long backoffMicros) {
        String retry = backoffMicros > 0 ? "; come back in " + wholeMillis(backoffMicros) : "";
        return "refused, and a repeat is harmless: " + describeFailure(why) + retry;
    }

    /** {@return why a request was rejected, failed or cancelled, as part of a sentence} */
    public static String describeFailure(Reason why) {
        return switch (why.kind()) {
            case DOOR -> "the engines are too busy: " + expectedTimes(why);
            case DOOR_LESS_WORTH ->
                    "the engines are kept for requests of more worth: " + expectedTimes(why);
            case DOOR_SHARE ->
                    "the tenant is beyond its share and the engines are busy: "
                            + expectedTimes(why);
            case NO_SERVER -> "no engine that can take it is listed";
            case DRAINING -> "the engines that are listed are draining";
            case COLD -> "the engines that are listed have just started and take no more for now";
            case REPEAT_UNSAFE -> "an engine failed, and nowhere is a repeat known to be harmless";
            case REPEAT_BUDGET -> "an engine failed, and the budget of repeats is spent";
            case ATTEMPTS -> "all of " + count(why.limit()) + " attempts failed";
            case TOLD_FULL ->
                    "engines were tried " + count(why.expected()) + " times, and the last was full";
            case DEADLINE ->
                    "its time of " + millis(why.limit()) + " was up before the first token";
            case HELD_TOO_LONG ->
                    "its prompt was read, and no engine could write the answer for "
                            + millis(why.expected());
            case ROUTER_FULL ->
                    why.limit() > 0
                            ? "this edge holds " + count(why.expected()) + " requests already"
                            : "this edge is about to stop";
            case CLIENT_GONE -> "its client left";
            case UNCONFIRMED -> "nothing shows that it has reached its engine";
            default -> "nothing is known of why";
        };
    }

    private static String expectedTimes(Reason why) {
        return millis(why.expected())
                + " expected to the first token (read "
                + millis(why.read())
                + ", answer "
                + millis(why.first())
                + ", engines behind by "
                + millis(why.lag())
                + "), "
                + millis(why.limit())
                + " allowed";
    }

    /**
     * Describes why an engine was selected.
     *
     * @param why the reason of a send
     * @return the description, as part of a sentence
     */
    public static String describeSelection(Reason why) {
        return selectionRule(why.kind())
                + estimates(why)
                + "; due at "
                + millis(why.expected())
                + " of an aim of "
                + millis(why.limit());
    }

    private static String selectionRule(Reason.Kind kind) {
        return switch (kind) {
            case KEPT -> "likely keeps most of the prompt";
            case CHEAPEST -> "cheapest to read at";
            case UNSEEN -> "by hash, as the beginning was never seen";
            case SHIFTED -> "lightest, as the keeper was heaviest";
            case UNJAMMED -> "soonest, as the first choice was jammed";
            case TRIAL -> "a trial of one that was set aside";
            case MIXED -> "reads and answers";
            case WRITER_READS -> "reads the prompt itself, as no reader can";
            case TWO_DRAWS -> "lighter of two drawn";
            default -> "no reason given";
        };
    }

    private static String estimates(Reason why) {
        if (Double.isNaN(why.estimate())) {
            return "";
        }
        String selected = ", " + estimate(why.kind(), why.estimate());
        if (why.next() == null) {
            return selected;
        }
        return selected
                + " against "
                + estimate(why.kind(), why.nextEstimate())
                + " at "
                + why.next();
    }

    /** Formats an estimate: tokens if engines were compared for decode, otherwise a time. */
    private static String estimate(Reason.Kind kind, double value) {
        return switch (kind) {
            case MIXED, WRITER_READS, TWO_DRAWS -> count(value) + " tokens";
            default -> millis(value);
        };
    }

    private static String count(double number) {
        return String.format(Locale.ROOT, "%.0f", number);
    }

    /** Rounds up, so that no client retries too early. */
    private static String wholeMillis(long micros) {
        return (micros + 999) / 1000 + " ms";
    }

    private static String millis(double micros) {
        if (Double.isNaN(micros)) {
            return "unknown";
        }
        String format = micros < ONE_DECIMAL_BELOW_MICROS ? "%.1f ms" : "%.0f ms";
        return String.format(Locale.ROOT, format, micros / MICROS_PER_MILLI);
    }
}

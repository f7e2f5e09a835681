package sorrelhoist.core.explain;

import java.util.Locale;
import sorrelhoist.routing.Reason;

/** A decision's reason in plain words: for a client's status, a log line, or whoever asks why. */
public final class ReasonFormatter {
    private static final double MILLI = 1000;

    private ReasonFormatter() {}

    /**
     * Says why a request was refused, and when to come back.
     *
     * @param why what was short
     * @param backoffMicros when to come back; 0 for no advice
     * @return one sentence for the client, without names of engines
     */
    public static String describeRejection(Reason why, long backoffMicros) {
        String when = backoffMicros > 0 ? "; come back in " + ms(backoffMicros) : "";
        return "refused, and a repeat is harmless: " + describeFailure(why) + when;
    }

    /** {@return what was short, for a final answer that served nothing} */
    public static String describeFailure(Reason why) {
        String sum =
                millis(why.expected())
                        + " expected to the first token (read "
                        + millis(why.read())
                        + ", answer "
                        + millis(why.first())
                        + ", engines behind by "
                        + millis(why.lag())
                        + "), "
                        + millis(why.limit())
                        + " allowed";
        return switch (why.kind()) {
            case DOOR -> "the engines are too busy: " + sum;
            case DOOR_LESS_WORTH -> "the engines are kept for requests of more worth: " + sum;
            case DOOR_SHARE -> "the tenant is beyond its share and the engines are busy: " + sum;
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
            default -> "nothing is known of why";
        };
    }

    /**
     * Says why a server was chosen.
     *
     * @param why as given with a send
     * @return a part of a sentence
     */
    public static String describeSelection(Reason why) {
        String how =
                switch (why.kind()) {
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
        boolean tokens =
                switch (why.kind()) {
                    case MIXED, WRITER_READS, TWO_DRAWS -> true;
                    default -> false;
                };
        String figures =
                Double.isNaN(why.estimate())
                        ? ""
                        : ", "
                                + figure(why.estimate(), tokens)
                                + (why.next() == null
                                        ? ""
                                        : " against "
                                                + figure(why.nextEstimate(), tokens)
                                                + " at "
                                                + why.next());
        return how
                + figures
                + "; due at "
                + millis(why.expected())
                + " of an aim of "
                + millis(why.limit());
    }

    private static String figure(double value, boolean tokens) {
        return tokens ? count(value) + " tokens" : millis(value);
    }

    private static String count(double n) {
        return String.format(Locale.ROOT, "%.0f", n);
    }

    private static String ms(long micros) {
        return (micros + 999) / 1000 + " ms";
    }

    private static String millis(double micros) {
        return Double.isNaN(micros)
                ? "unknown"
                : String.format(
                        Locale.ROOT, micros < 100 * MILLI ? "%.1f ms" : "%.0f ms", micros / MILLI);
    }
}

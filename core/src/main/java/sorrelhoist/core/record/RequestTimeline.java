package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.routing.Routing.*;

/** One request's whole story, in readable lines. */
public final class RequestTimeline {
    private final Recording tape;

    /** Makes one that tells from a tape. */
    public RequestTimeline(Recording tape) {
        this.tape = tape;
    }

    /**
     * Finds a request and tells of it.
     *
     * @param request its name at engines, its client's own name for it, or its number
     * @return lines; empty where the tape does not hold it
     */
    public List<String> describe(String request) {
        Set<Long> clients = new LinkedHashSet<>();
        for (Recording.NumberedEntry l : tape.entries()) {
            if (l.entry() instanceof RecordEntry.RequestSubmitted a
                    && (request.equals(a.name())
                            || request.equals(a.clientId())
                            || request.equals("" + a.id()))) {
                clients.add(a.client());
            }
        }
        List<String> lines = new ArrayList<>();
        Set<Long> ids = new LinkedHashSet<>();
        long from = 0;
        for (Recording.NumberedEntry l : tape.entries()) {
            if (l.entry() instanceof RecordEntry.RequestSubmitted a
                    && clients.contains(a.client())) {
                if (ids.isEmpty()) {
                    from = a.at();
                }
                ids.add(a.id());
                lines.add(
                        line(
                                a.at() - from,
                                (a.fromToken() > 0
                                                ? "went on from token " + a.fromToken() + " as "
                                                : "asked, as ")
                                        + a.name()
                                        + (a.clientId().isEmpty()
                                                ? ""
                                                : ", its client's " + a.clientId())
                                        + ", prompt "
                                        + Long.toHexString(a.promptHash())
                                        + (a.timeoutMicros() > 0
                                                ? ", its client waits " + ms(a.timeoutMicros())
                                                : "")));
            } else if (l.entry() instanceof RecordEntry.RequestCompleted a
                    && clients.contains(a.client())) {
                lines.add(line(a.at() - from, answered(a)));
            } else if (l.entry() instanceof RecordEntry.Decision t) {
                told(t, ids, from, lines);
            }
        }
        if (lines.isEmpty() && request.matches("[0-9]{1,18}")) {
            // A record without clients, as a bench day's: the number at Decide is all there is.
            ids.add(Long.parseLong(request));
            for (Recording.NumberedEntry l : tape.entries()) {
                if (l.entry() instanceof RecordEntry.Decision t) {
                    from = lines.isEmpty() ? t.at() : from;
                    told(t, ids, from, lines);
                }
            }
        }
        return lines;
    }

    private static void told(RecordEntry.Decision t, Set<Long> ids, long from, List<String> lines) {
        String event = concerns(t.event(), ids) ? event(t.event()) : null;
        if (event != null) {
            lines.add(line(t.at() - from, event));
        }
        for (Action a : t.actions()) {
            String said = concerns(a, ids) ? action(a) : null;
            if (said != null) {
                lines.add(line(t.at() - from, "  " + said));
            }
        }
    }

    private static String line(long after, String text) {
        return String.format(Locale.ROOT, "%10.1f ms  %s", after / 1000.0, text);
    }

    private static String ms(long micros) {
        return String.format(Locale.ROOT, "%.1f ms", micros / 1000.0);
    }

    private static String answered(RecordEntry.RequestCompleted a) {
        String left =
                a.leftMicros() == Long.MAX_VALUE
                        ? ""
                        : ", " + ms(a.leftMicros()) + " before its time was up";
        return switch (a.how()) {
            case SERVED -> "answered: served, " + a.tokens() + " tokens" + left;
            case REFUSED ->
                    "answered: refused, as " + ReasonFormatter.describeFailure(a.why()) + left;
            case FAILED ->
                    "answered: failed after "
                            + a.tokens()
                            + " tokens, as "
                            + ReasonFormatter.describeFailure(a.why())
                            + left;
            case STALLED -> "given up: its client took nothing of its answer";
            case LEFT -> "its client left after " + a.tokens() + " tokens";
        };
    }

    /** {@return the request that something is about, or -1} */
    static long request(Object o) {
        return o instanceof Arrived e
                ? e.id()
                : o instanceof AttemptEnded e
                        ? e.id()
                        : o instanceof StreamStarted e
                                ? e.id()
                                : o instanceof PlaceAnswered e
                                        ? e.id()
                                        : o instanceof TimerFired e
                                                ? e.token()
                                                : o instanceof ClientGone e
                                                        ? e.id()
                                                        : o instanceof Send a
                                                                ? a.id()
                                                                : o instanceof Reserve a
                                                                        ? a.id()
                                                                        : o instanceof Release a
                                                                                ? a.id()
                                                                                : o
                                                                                                instanceof
                                                                                                Refuse
                                                                                                        a
                                                                                        ? a.id()
                                                                                        : o
                                                                                                        instanceof
                                                                                                        Fail
                                                                                                                a
                                                                                                ? a
                                                                                                        .id()
                                                                                                : o
                                                                                                                instanceof
                                                                                                                Cancel
                                                                                                                        a
                                                                                                        ? a
                                                                                                                .id()
                                                                                                        : o
                                                                                                                        instanceof
                                                                                                                        Move
                                                                                                                                a
                                                                                                                ? a
                                                                                                                        .id()
                                                                                                                : o
                                                                                                                                instanceof
                                                                                                                                Timer
                                                                                                                                        a
                                                                                                                        ? a
                                                                                                                                .token()
                                                                                                                        : -1;
    }

    private static boolean concerns(Object o, Set<Long> ids) {
        return ids.contains(request(o));
    }

    private static String event(Event event) {
        if (event instanceof Arrived e) {
            return "arrived: class "
                    + e.cls()
                    + ", tenant "
                    + e.tenant()
                    + ", "
                    + e.promptTokens()
                    + " prompt tokens ("
                    + e.prefixTokens()
                    + " shared), up to "
                    + e.maxTokens()
                    + " to answer, "
                    + ms(e.budgetMicros())
                    + " to the first token";
        } else if (event instanceof AttemptEnded e) {
            return "attempt "
                    + e.attempt()
                    + " at "
                    + e.server()
                    + " ended: "
                    + e.outcome()
                    + " after "
                    + ms(e.tookMicros())
                    + (e.outcome() == Outcome.READ ? ", " + e.note() + " tokens were kept" : "");
        } else if (event instanceof StreamStarted e) {
            return "attempt "
                    + e.attempt()
                    + " at "
                    + e.server()
                    + ": first token after "
                    + ms(e.tookMicros());
        } else if (event instanceof ClientGone) {
            return "the client left";
        }
        return event instanceof TimerFired ? null : event.getClass().getSimpleName();
    }

    private static String action(Action action) {
        if (action instanceof Send a) {
            return "send to " + a.server() + ": " + ReasonFormatter.describeSelection(a.why());
        } else if (action instanceof Refuse a) {
            return "refuse: " + ReasonFormatter.describeFailure(a.why());
        } else if (action instanceof Fail a) {
            return "fail: " + ReasonFormatter.describeFailure(a.why());
        } else if (action instanceof Cancel a) {
            return "stop waiting for attempt "
                    + a.attempt()
                    + ": "
                    + ReasonFormatter.describeFailure(a.why());
        } else if (action instanceof Release) {
            return "let go of what is held";
        }
        return action instanceof Timer ? null : action.getClass().getSimpleName();
    }
}

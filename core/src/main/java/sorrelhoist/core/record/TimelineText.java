package sorrelhoist.core.record;

import java.util.Locale;
import java.util.Optional;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/**
 * Formats the entries of a request's timeline. Operators read these texts, and docs/ops quotes
 * some.
 */
final class TimelineText {
    private static final double MICROS_PER_MILLI = 1000;

    private TimelineText() {}

    static String submitted(RecordEntry.RequestSubmitted request) {
        StringBuilder text = new StringBuilder();
        if (request.fromToken() > 0) {
            text.append("resumed from token ").append(request.fromToken()).append(" as ");
        } else {
            text.append("submitted as ");
        }
        text.append(request.name());
        if (!request.clientId().isEmpty()) {
            text.append(", client id ").append(request.clientId());
        }
        text.append(", prompt hash ").append(Long.toHexString(request.promptHash()));
        if (request.timeoutMicros() > 0) {
            text.append(", client timeout ").append(millis(request.timeoutMicros()));
        }
        return text.toString();
    }

    static String completed(RecordEntry.RequestCompleted completion) {
        int tokens = completion.tokens();
        String remaining =
                completion.leftMicros() == Long.MAX_VALUE
                        ? ""
                        : ", " + millis(completion.leftMicros()) + " before the client's timeout";
        return switch (completion.how()) {
            case SERVED -> "answered: served, " + tokens + " tokens" + remaining;
            case REFUSED -> "answered: refused: " + failure(completion) + remaining;
            case FAILED ->
                    "answered: failed after "
                            + tokens
                            + " tokens: "
                            + failure(completion)
                            + remaining;
            case STALLED -> "given up: the client stopped reading the answer";
            case LEFT -> "its client left after " + tokens + " tokens";
        };
    }

    private static String failure(RecordEntry.RequestCompleted completion) {
        return ReasonFormatter.describeFailure(completion.why());
    }

    /** {@return the text of an event, or empty for timers} */
    static Optional<String> event(Event event) {
        if (event instanceof TimerFired) {
            return Optional.empty();
        } else if (event instanceof Arrived arrived) {
            return Optional.of(arrival(arrived));
        } else if (event instanceof AttemptEnded ended) {
            return Optional.of(attemptEnd(ended));
        } else if (event instanceof StreamStarted started) {
            return Optional.of(
                    attempt(started.attempt(), started.server())
                            + ": first token after "
                            + millis(started.tookMicros()));
        } else if (event instanceof DeliveryUnconfirmed unconfirmed) {
            return Optional.of(
                    attempt(unconfirmed.attempt(), unconfirmed.server())
                            + ": delivery unconfirmed");
        } else if (event instanceof ClientGone) {
            return Optional.of("the client left");
        }
        return Optional.of(event.getClass().getSimpleName());
    }

    private static String arrival(Arrived arrived) {
        return "arrived: class "
                + arrived.cls()
                + ", tenant "
                + arrived.tenant()
                + ", "
                + arrived.promptTokens()
                + " prompt tokens ("
                + arrived.prefixTokens()
                + " shared), up to "
                + arrived.maxTokens()
                + " output tokens, "
                + millis(arrived.budgetMicros())
                + " to the first token";
    }

    private static String attemptEnd(AttemptEnded ended) {
        String kept =
                ended.outcome() == Outcome.READ ? ", " + ended.note() + " tokens were kept" : "";
        return attempt(ended.attempt(), ended.server())
                + " ended: "
                + ended.outcome()
                + " after "
                + millis(ended.tookMicros())
                + kept;
    }

    private static String attempt(int number, String server) {
        return "attempt " + number + " at " + server;
    }

    /** {@return the text of an action, or empty for timers} */
    static Optional<String> action(Action action) {
        if (action instanceof Timer) {
            return Optional.empty();
        } else if (action instanceof Send send) {
            return Optional.of(
                    "send to "
                            + send.server()
                            + ": "
                            + ReasonFormatter.describeSelection(send.why()));
        } else if (action instanceof Refuse refuse) {
            return Optional.of("refuse: " + ReasonFormatter.describeFailure(refuse.why()));
        } else if (action instanceof Fail fail) {
            return Optional.of("fail: " + ReasonFormatter.describeFailure(fail.why()));
        } else if (action instanceof Cancel cancel) {
            return Optional.of(
                    "stop waiting for attempt "
                            + cancel.attempt()
                            + ": "
                            + ReasonFormatter.describeFailure(cancel.why()));
        } else if (action instanceof Release) {
            return Optional.of("release the reservations of the request");
        }
        return Optional.of(action.getClass().getSimpleName());
    }

    static String line(long micros, String text) {
        return String.format(Locale.ROOT, "%10.1f ms  %s", micros / MICROS_PER_MILLI, text);
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.1f ms", micros / MICROS_PER_MILLI);
    }
}

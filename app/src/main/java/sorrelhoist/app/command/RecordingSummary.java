package sorrelhoist.app.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recording;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions;

/**
 * Summarizes a recording: the counts of events, actions and results, and the reasons why requests
 * were not served.
 */
final class RecordingSummary {
    private static final int SAMPLES = 3;
    private static final int INCARNATION_RADIX = 36;
    private static final String UNNAMED_REQUEST = "(no name recorded)";

    private final Recording recording;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<Reason.Kind, List<String>> unserved = new TreeMap<>();
    private final Map<Long, String> requestNames = new TreeMap<>();
    private final List<String> markers = new ArrayList<>();

    RecordingSummary(Recording recording) {
        this.recording = recording;
        recording.entries().forEach(this::add);
    }

    private void add(Recording.NumberedEntry numbered) {
        RecordEntry entry = numbered.entry();
        if (entry instanceof RecordEntry.Decision decision) {
            count("event " + decision.event().getClass().getSimpleName());
            decision.actions().forEach(action -> count("said " + label(action)));
        } else if (entry instanceof RecordEntry.RequestSubmitted request) {
            requestNames.put(request.client(), request.name());
        } else if (entry instanceof RecordEntry.RequestCompleted completed) {
            add(completed);
        } else if (entry instanceof RecordEntry.Marker marker) {
            markers.add(
                    "marked at "
                            + marker.at()
                            + " us, entry "
                            + numbered.number()
                            + ": "
                            + marker.text());
        }
    }

    private void add(RecordEntry.RequestCompleted completed) {
        count("answered " + completed.how());
        if (completed.how() == RecordEntry.Completion.REFUSED
                || completed.how() == RecordEntry.Completion.FAILED) {
            String name = requestNames.getOrDefault(completed.client(), UNNAMED_REQUEST);
            unserved.computeIfAbsent(completed.why().kind(), kind -> new ArrayList<>())
                    .add(name + ": " + ReasonFormatter.describeFailure(completed.why()));
        }
    }

    private void count(String label) {
        counts.merge(label, 1, Integer::sum);
    }

    private static String label(RoutingActions.Action action) {
        Reason reason = reason(action);
        return action.getClass().getSimpleName() + (reason == null ? "" : " " + reason.kind());
    }

    private static Reason reason(RoutingActions.Action action) {
        if (action instanceof RoutingActions.Send send) {
            return send.why();
        } else if (action instanceof RoutingActions.Refuse rejection) {
            return rejection.why();
        } else if (action instanceof RoutingActions.Fail failure) {
            return failure.why();
        }
        return action instanceof RoutingActions.Cancel cancel ? cancel.why() : null;
    }

    /**
     * Prints the summary.
     *
     * @param out the stream to print to
     * @param kind the kind of reason for which all requests are listed, instead of only the first
     *     few; null for none
     */
    void print(PrintStream out, Reason.Kind kind) {
        printHeader(out);
        markers.forEach(out::println);
        counts.forEach((label, count) -> out.printf("%8d  %s%n", count, label));
        unserved.forEach(
                (reason, requests) -> {
                    out.println("not served, " + reason + ": " + requests.size());
                    requests.stream()
                            .limit(reason == kind ? Long.MAX_VALUE : SAMPLES)
                            .forEach(request -> out.println("    " + request));
                });
    }

    private void printHeader(PrintStream out) {
        RecordEntry.Header header = recording.header();
        out.printf(
                "router %s, build %s, start %s, %d routers%n",
                header.name(),
                header.build(),
                Long.toString(header.incarnation(), INCARNATION_RADIX),
                header.settings().routers());
        out.printf(
                "entries %d%s%n",
                recording.entries().size(),
                recording.isComplete()
                        ? ", complete from the start"
                        : ", with gaps: a replay cannot be exact");
        recording
                .gaps()
                .forEach(
                        gap ->
                                out.printf(
                                        "  missing: %d to %d%n",
                                        gap.firstMissing(), gap.nextPresent() - 1));
    }
}

package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import sorrelhoist.routing.RoutingActions.Action;

/** Formats everything that a recording contains about one client's request as lines of text. */
public final class RequestTimeline {
    private static final Pattern REQUEST_NUMBER = Pattern.compile("[0-9]{1,18}");

    private final Recording recording;

    /** Creates the timelines of a recording. */
    public RequestTimeline(Recording recording) {
        this.recording = recording;
    }

    /**
     * Finds a request and describes what happened to it.
     *
     * @param request name by which engines identify the request, the id that its client gave it, or
     *     its number in the routing policy
     * @return lines of text; empty if the recording does not contain the request
     */
    public List<String> describe(String request) {
        List<String> lines = new Timeline(recording).ofClients(clientsOf(request));
        if (lines.isEmpty() && REQUEST_NUMBER.matcher(request).matches()) {
            // A record without client requests, such as one of a simulated day, has only numbers.
            return new Timeline(recording).ofDecisions(Long.parseLong(request));
        }
        return lines;
    }

    private Set<Long> clientsOf(String request) {
        Set<Long> clients = new LinkedHashSet<>();
        for (Recording.NumberedEntry numbered : recording.entries()) {
            if (numbered.entry() instanceof RecordEntry.RequestSubmitted submitted
                    && (request.equals(submitted.name())
                            || request.equals(submitted.clientId())
                            || request.equals(Long.toString(submitted.id())))) {
                clients.add(submitted.client());
            }
        }
        return clients;
    }

    /** Collects the lines of one request in one pass over the recording. */
    private static final class Timeline {
        private final Recording recording;
        private final List<String> lines = new ArrayList<>();
        private final Set<Long> requestIds = new LinkedHashSet<>();
        private long startedAt;

        Timeline(Recording recording) {
            this.recording = recording;
        }

        List<String> ofClients(Set<Long> clients) {
            for (Recording.NumberedEntry numbered : recording.entries()) {
                RecordEntry entry = numbered.entry();
                if (entry instanceof RecordEntry.RequestSubmitted submitted
                        && clients.contains(submitted.client())) {
                    if (requestIds.isEmpty()) {
                        startedAt = submitted.at();
                    }
                    requestIds.add(submitted.id());
                    add(submitted.at(), TimelineText.submitted(submitted));
                } else if (entry instanceof RecordEntry.RequestCompleted completed
                        && clients.contains(completed.client())) {
                    add(completed.at(), TimelineText.completed(completed));
                } else if (entry instanceof RecordEntry.Decision decision) {
                    add(decision);
                }
            }
            return lines;
        }

        List<String> ofDecisions(long requestId) {
            requestIds.add(requestId);
            for (Recording.NumberedEntry numbered : recording.entries()) {
                if (numbered.entry() instanceof RecordEntry.Decision decision) {
                    if (lines.isEmpty()) {
                        startedAt = decision.at();
                    }
                    add(decision);
                }
            }
            return lines;
        }

        private void add(RecordEntry.Decision decision) {
            if (requestIds.contains(RequestIds.of(decision.event()))) {
                TimelineText.event(decision.event()).ifPresent(text -> add(decision.at(), text));
            }
            for (Action action : decision.actions()) {
                if (requestIds.contains(RequestIds.of(action))) {
                    TimelineText.action(action).ifPresent(text -> add(decision.at(), "  " + text));
                }
            }
        }

        private void add(long at, String text) {
            lines.add(TimelineText.line(at - startedAt, text));
        }
    }
}

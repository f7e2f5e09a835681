package sorrelhoist.core.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Routing.*;

/**
 * A tape under neutral names, to be shown to others: servers, sessions, shared beginnings, requests
 * and the router. Equal names stay equal. As readers are also chosen by names, the tape may show
 * something else afterwards; its actions are those of this build.
 */
public final class RecordingAnonymizer {
    private final Map<String, String> names = new HashMap<>();

    private RecordingAnonymizer() {}

    /**
     * {@return the tape under neutral names; requests' own names and what peers told are left out}
     */
    public static Recording anonymize(Recording tape) {
        RecordingAnonymizer r = new RecordingAnonymizer();
        RecordEntry.Header h = tape.header();
        RecordEntry.Header head =
                new RecordEntry.Header(h.build(), "router", 1, h.settings(), h.seed());
        List<RecordEntry> entries =
                tape.entries().stream()
                        .map(Recording.NumberedEntry::entry)
                        .filter(
                                e ->
                                        e instanceof RecordEntry.Decision t
                                                && !(t.event() instanceof PeerMessage))
                        .map(r::entry)
                        .toList();
        return Replay.again(Recording.of(head, entries));
    }

    private RecordEntry entry(RecordEntry e) {
        RecordEntry.Decision t = (RecordEntry.Decision) e;
        return new RecordEntry.Decision(t.at(), event(t.event()), List.of());
    }

    private Event event(Event event) {
        if (event instanceof Members e) {
            return new Members(
                    e.form(),
                    e.servers().stream()
                            .map(
                                    s ->
                                            new Server(
                                                    server(s.id()),
                                                    s.zone(),
                                                    s.kind(),
                                                    s.cell(),
                                                    s.state(),
                                                    s.size(),
                                                    s.since()))
                            .toList());
        } else if (event instanceof Arrived e) {
            return new Arrived(
                    e.id(),
                    e.cls(),
                    e.tenant(),
                    name("session-", e.session()),
                    name("prefix-", e.prefix()),
                    e.promptTokens(),
                    e.prefixTokens(),
                    e.maxTokens(),
                    e.budgetMicros(),
                    e.resumed());
        } else if (event instanceof AttemptEnded e) {
            return new AttemptEnded(
                    e.id(),
                    e.attempt(),
                    server(e.server()),
                    e.outcome(),
                    e.tookMicros(),
                    e.ended(),
                    e.note(),
                    e.report());
        } else if (event instanceof StreamStarted e) {
            return new StreamStarted(e.id(), e.attempt(), server(e.server()), e.tookMicros());
        } else if (event instanceof PlaceAnswered e) {
            return new PlaceAnswered(e.id(), server(e.server()), e.held());
        } else if (event instanceof ProbeAnswered e) {
            return new ProbeAnswered(server(e.server()), e.outcome(), e.tookMicros(), e.report());
        }
        return event;
    }

    private String server(String id) {
        return name("server-", id);
    }

    private String name(String kind, String old) {
        return old == null ? null : names.computeIfAbsent(kind + old, k -> kind + names.size());
    }
}

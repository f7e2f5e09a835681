package sorrelhoist.core.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.Routing.*;

/**
 * A tape under neutral names, to be shown to others: servers, sessions, shared beginnings, requests
 * and the router. Equal names stay equal. As readers are also chosen by names, the tape may show
 * something else afterwards; its actions are those of this build.
 */
public final class Rename {
    private final Map<String, String> names = new HashMap<>();

    private Rename() {}

    /**
     * {@return the tape under neutral names; requests' own names and what peers told are left out}
     */
    public static Tape of(Tape tape) {
        Rename r = new Rename();
        Entry.Started h = tape.head();
        Entry.Started head = new Entry.Started(h.build(), "router", 1, h.settings(), h.seed());
        List<Entry> entries =
                tape.lines().stream()
                        .map(Tape.Line::entry)
                        .filter(
                                e ->
                                        e instanceof Entry.Told t
                                                && !(t.event() instanceof PeerMessage))
                        .map(r::entry)
                        .toList();
        return Replay.again(Tape.of(head, entries));
    }

    private Entry entry(Entry e) {
        Entry.Told t = (Entry.Told) e;
        return new Entry.Told(t.at(), event(t.event()), List.of());
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

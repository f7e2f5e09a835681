package sorrelhoist.core.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/**
 * Replaces the names of engines, sessions, shared prefixes and the router in a recording with
 * neutral ones, so that the recording can be shared. Equal names stay equal. Only decisions are
 * kept, without those on messages of peers: client requests with their names, adopted knowledge and
 * notes are removed. Because hashes of names also influence which engines are selected, the
 * anonymized recording may contain other actions; they are those of this build.
 */
public final class RecordingAnonymizer {
    private static final String ROUTER_NAME = "router";
    private static final long INCARNATION = 1;

    private final Map<String, String> neutralNames = new HashMap<>();

    private RecordingAnonymizer() {}

    /**
     * {@return the decisions of a recording with neutral names and the actions of this build,
     * without decisions on messages of peers}
     */
    public static Recording anonymize(Recording recording) {
        RecordingAnonymizer anonymizer = new RecordingAnonymizer();
        RecordEntry.Header header = recording.header();
        RecordEntry.Header neutralHeader =
                new RecordEntry.Header(
                        header.build(), ROUTER_NAME, INCARNATION, header.settings(), header.seed());
        List<RecordEntry> entries =
                recording.entries().stream()
                        .map(Recording.NumberedEntry::entry)
                        .filter(RecordingAnonymizer::isKept)
                        .map(entry -> anonymizer.entry((RecordEntry.Decision) entry))
                        .toList();
        return Replay.withReplayedActions(Recording.of(neutralHeader, entries));
    }

    private static boolean isKept(RecordEntry entry) {
        return entry instanceof RecordEntry.Decision decision
                && !(decision.event() instanceof PeerMessage);
    }

    private RecordEntry entry(RecordEntry.Decision decision) {
        return new RecordEntry.Decision(decision.at(), event(decision.event()), List.of());
    }

    private Event event(Event event) {
        if (event instanceof Members members) {
            return new Members(
                    members.form(), members.servers().stream().map(this::server).toList());
        } else if (event instanceof Arrived arrived) {
            return arrived(arrived);
        } else if (event instanceof AttemptEnded ended) {
            return attemptEnded(ended);
        } else if (event instanceof StreamStarted started) {
            return new StreamStarted(
                    started.id(),
                    started.attempt(),
                    serverName(started.server()),
                    started.tookMicros());
        } else if (event instanceof DeliveryUnconfirmed unconfirmed) {
            return new DeliveryUnconfirmed(
                    unconfirmed.id(), unconfirmed.attempt(), serverName(unconfirmed.server()));
        } else if (event instanceof PlaceAnswered answered) {
            return new PlaceAnswered(answered.id(), serverName(answered.server()), answered.held());
        } else if (event instanceof ProbeAnswered answered) {
            return new ProbeAnswered(
                    serverName(answered.server()),
                    answered.outcome(),
                    answered.tookMicros(),
                    answered.report());
        }
        return event;
    }

    private Server server(Server server) {
        return new Server(
                serverName(server.id()),
                server.zone(),
                server.kind(),
                server.cell(),
                server.state(),
                server.size(),
                server.since());
    }

    private Arrived arrived(Arrived arrived) {
        return new Arrived(
                arrived.id(),
                arrived.cls(),
                arrived.tenant(),
                neutralName("session-", arrived.session()),
                neutralName("prefix-", arrived.prefix()),
                arrived.promptTokens(),
                arrived.prefixTokens(),
                arrived.maxTokens(),
                arrived.budgetMicros(),
                arrived.resumed());
    }

    private AttemptEnded attemptEnded(AttemptEnded ended) {
        return new AttemptEnded(
                ended.id(),
                ended.attempt(),
                serverName(ended.server()),
                ended.outcome(),
                ended.tookMicros(),
                ended.ended(),
                ended.note(),
                ended.report());
    }

    private String serverName(String id) {
        return neutralName("server-", id);
    }

    private String neutralName(String kind, String name) {
        if (name == null) {
            return null;
        }
        return neutralNames.computeIfAbsent(kind + name, key -> kind + neutralNames.size());
    }
}

package sorrelhoist.standin.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.xml.stream.XMLStreamException;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.protocol.http1.HttpServerHandler;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.Trace;

/**
 * A stand-in for a Eureka registry: the REST operations as Netflix publishes them, in JSON and XML,
 * with leases that expire and deltas with their hash code; and a control path by which it is told
 * to lag, hang, err or list nothing.
 */
public final class RegistryStandIn {
    /**
     * What it is.
     *
     * @param port to listen on; 0 for one that the system picks
     * @param evictMicros between looks for leases that expired
     * @param deltaMicros for how long a change stays in deltas
     * @param trace file for what it sees; empty for none
     */
    public record Settings(int port, long evictMicros, long deltaMicros, String trace) {}

    private record Change(long at, String action, Lease lease) {}

    private record Snapshot(long at, List<Lease> leases, List<Change> changes) {}

    private static final String ROOT = "/eureka/apps";
    private static final int HISTORY = 500;
    private static final long DEFAULT_LEASE = 90_000_000;
    private final ObjectMapper json = new ObjectMapper();
    private final Settings settings;
    private final EventLoopGroup loops;
    private final EventLoop loop;
    private final Trace trace;
    private final TreeMap<String, Lease> leases = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final ArrayDeque<Snapshot> history = new ArrayDeque<>();
    private final Map<String, String> told = new HashMap<>();
    private Channel listener;
    private long lag;
    private long lagUntil;
    private long hangUntil;
    private long errUntil;
    private long emptyUntil;

    /** Makes a registry; {@link #start} starts it. */
    public RegistryStandIn(Settings settings, EventLoopGroup loops) throws IOException {
        this.settings = settings;
        this.loops = loops;
        this.loop = loops.next();
        this.trace =
                new Trace(
                        settings.trace().isEmpty() ? null : Path.of(settings.trace()), "registry");
    }

    /** Listens. {@return this} */
    public RegistryStandIn start() throws IOException {
        listener =
                LoopbackTransport.listen(
                        loops,
                        settings.port(),
                        () ->
                                new HttpServerHandler(
                                        (request, answer) ->
                                                loop.execute(() -> take(request, answer))));
        loop.scheduleAtFixedRate(
                this::evict, settings.evictMicros(), settings.evictMicros(), TimeUnit.MICROSECONDS);
        changed(null, null);
        return this;
    }

    /** {@return the port it listens on} */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** Stops listening. */
    public void stop() {
        listener.close();
    }

    private void take(HttpMessage request, Consumer<HttpMessage> answer) {
        long now = Trace.now();
        if (request.path().equals("/control")) {
            answer.accept(control(request.queryParameter("do"), now));
        } else if (now < hangUntil) {
            loop.schedule(() -> take(request, answer), hangUntil - now, TimeUnit.MICROSECONDS);
        } else if (now < errUntil) {
            answer.accept(HttpMessage.response(503, "text/plain", "told to fail\n"));
        } else {
            try {
                answer.accept(route(request, now));
            } catch (JsonProcessingException | XMLStreamException | IllegalArgumentException e) {
                answer.accept(
                        HttpMessage.response(
                                400, "text/plain", "cannot be read: " + e.getMessage() + "\n"));
            }
        }
    }

    private HttpMessage route(HttpMessage request, long now)
            throws JsonProcessingException, XMLStreamException {
        String path = request.path().replaceAll("/+$", "");
        String[] parts =
                path.startsWith(ROOT) ? path.substring(ROOT.length()).split("/") : new String[0];
        String way = request.method() + " " + parts.length;
        boolean instances = path.startsWith("/eureka/instances/");
        if (instances && request.method().equals("GET")) {
            String id = path.substring("/eureka/instances/".length());
            return leases.values().stream()
                    .filter(l -> l.id().equals(id))
                    .findFirst()
                    .map(l -> one(request, l))
                    .orElse(notFound());
        }
        if (!path.startsWith(ROOT)) {
            return notFound();
        }
        switch (way) {
            case "GET 1" -> {
                return full(request, now);
            }
            case "GET 2" -> {
                return parts[1].equals("delta") ? delta(request, now) : app(request, parts[1]);
            }
            case "POST 2" -> {
                return register(request, parts[1], now);
            }
            default -> {
                Lease lease = parts.length < 3 ? null : leases.get(key(parts[1], parts[2]));
                return lease == null ? notFound() : of(request, way, parts, lease, now);
            }
        }
    }

    private HttpMessage of(HttpMessage request, String way, String[] parts, Lease lease, long now) {
        boolean status = parts.length == 4 && parts[3].equals("status");
        switch (way) {
            case "GET 3" -> {
                return one(request, lease);
            }
            case "PUT 3" -> {
                String said = request.queryParameter("status");
                Lease renewed = lease.renewed(now);
                leases.put(key(lease), renewed);
                if (said != null && !said.equals(lease.status())) {
                    changed("MODIFIED", renewed.with(said, lease.override(), now));
                }
                return HttpMessage.response(200, "", "");
            }
            case "DELETE 3" -> {
                leases.remove(key(lease));
                changed("DELETED", lease);
                return HttpMessage.response(200, "", "");
            }
            case "PUT 4" -> {
                String value = request.queryParameter("value");
                if (!status || value == null) {
                    return HttpMessage.response(400, "text/plain", "give status?value=STATUS\n");
                }
                changed(
                        "MODIFIED",
                        lease.with(lease.status(), value.equals("UP") ? null : value, now));
                return HttpMessage.response(200, "", "");
            }
            case "DELETE 4" -> {
                changed(
                        "MODIFIED",
                        lease.with(
                                request.queryParameter("value") == null
                                        ? lease.status()
                                        : request.queryParameter("value"),
                                null,
                                now));
                return HttpMessage.response(200, "", "");
            }
            default -> {
                return notFound();
            }
        }
    }

    private HttpMessage register(HttpMessage request, String app, long now)
            throws JsonProcessingException, XMLStreamException {
        boolean isXml =
                request.header("content-type") != null
                        && request.header("content-type").contains("xml");
        var root =
                isXml ? XmlInstance.parse(request.bodyText()) : json.readTree(request.bodyText());
        if (!(root.get("instance") instanceof ObjectNode info)) {
            throw new IllegalArgumentException("an object \"instance\" is missing");
        }
        String id = info.path("instanceId").asText(info.path("hostName").asText(""));
        if (id.isEmpty()) {
            throw new IllegalArgumentException("instanceId or hostName is missing");
        }
        String name = app.toUpperCase(Locale.ROOT);
        Lease before = leases.get(key(name, id));
        long seconds = info.path("leaseInfo").path("durationInSecs").asLong(0);
        Lease lease =
                new Lease(
                        name,
                        id,
                        info,
                        info.path("status").asText("UP"),
                        before == null ? null : before.override(),
                        now,
                        seconds > 0 ? seconds * 1_000_000 : DEFAULT_LEASE,
                        now);
        changed(before == null ? "ADDED" : "MODIFIED", lease);
        return HttpMessage.response(204, "", "");
    }

    private void changed(String action, Lease lease) {
        long now = Trace.now();
        if (lease != null) {
            if (!action.equals("DELETED")) {
                leases.put(key(lease), lease);
            }
            changes.add(new Change(now, action, lease));
            trace.line(
                    "change", "engine", lease.id(), "action", action, "status", lease.effective());
        }
        changes.removeIf(c -> c.at() < now - settings.deltaMicros());
        history.add(new Snapshot(now, List.copyOf(leases.values()), List.copyOf(changes)));
        if (history.size() > HISTORY) {
            history.poll();
        }
    }

    private void evict() {
        long now = Trace.now();
        if (now < hangUntil) {
            return;
        }
        for (Lease l : new ArrayList<>(leases.values())) {
            if (l.expired(now)) {
                leases.remove(key(l));
                changed("DELETED", l);
            }
        }
    }

    // ---- Lists
    // --------------------------------------------------------------------------------------------

    private Snapshot visible(long now) {
        long at = now < lagUntil ? now - lag : now;
        Snapshot last = history.peekFirst();
        for (Snapshot s : history) {
            last = s.at() <= at ? s : last;
        }
        return last;
    }

    private HttpMessage full(HttpMessage request, long now) {
        List<Lease> list = now < emptyUntil ? List.of() : visible(now).leases();
        Map<String, String> listed = new HashMap<>();
        list.forEach(l -> listed.put(l.id(), l.effective()));
        for (String id : List.copyOf(told.keySet())) {
            if (!listed.containsKey(id)) {
                say(id, "GONE");
            }
        }
        listed.forEach(this::say);
        return body(
                request,
                Listing.applications(
                        list.stream().map(l -> Listing.instance(l, "ADDED")).toList(),
                        Listing.hashCode(list)));
    }

    private HttpMessage delta(HttpMessage request, long now) {
        Snapshot s = visible(now);
        boolean empty = now < emptyUntil;
        List<Change> list = empty ? List.of() : s.changes();
        list.forEach(
                c ->
                        say(
                                c.lease().id(),
                                c.action().equals("DELETED") ? "GONE" : c.lease().effective()));
        return body(
                request,
                Listing.applications(
                        list.stream().map(c -> Listing.instance(c.lease(), c.action())).toList(),
                        empty ? "" : Listing.hashCode(s.leases())));
    }

    /** Notes when a client was first given a status: from then on it was told. */
    private void say(String id, String status) {
        if (!status.equals(told.put(id, status))) {
            trace.line("listed", "engine", id, "status", status);
        }
    }

    private HttpMessage app(HttpMessage request, String app) {
        List<ObjectNode> of =
                leases.values().stream()
                        .filter(l -> l.app().equalsIgnoreCase(app))
                        .map(l -> Listing.instance(l, "ADDED"))
                        .toList();
        ObjectNode root = json.createObjectNode();
        root.set("application", Listing.application(app.toUpperCase(Locale.ROOT), of));
        return of.isEmpty() ? notFound() : body(request, root);
    }

    private HttpMessage one(HttpMessage request, Lease lease) {
        ObjectNode root = json.createObjectNode();
        root.set("instance", Listing.instance(lease, "ADDED"));
        return body(request, root);
    }

    private static HttpMessage body(HttpMessage request, ObjectNode root) {
        String accept = request.header("accept");
        return accept != null && accept.contains("json")
                ? HttpMessage.response(200, "application/json", root.toString())
                : HttpMessage.response(200, "application/xml", Listing.xml(root));
    }

    private static HttpMessage notFound() {
        return HttpMessage.response(404, "", "");
    }

    private static String key(Lease l) {
        return key(l.app(), l.id());
    }

    private static String key(String app, String id) {
        return app.toUpperCase(Locale.ROOT) + "/" + id;
    }

    // ---- What it is told to suffer
    // -------------------------------------------------------------------------

    private HttpMessage control(String command, long now) {
        String[] w = command == null ? new String[] {""} : command.trim().split("\\s+");
        trace.line("told", "command", String.valueOf(command));
        try {
            switch (w[0]) {
                case "lag" -> {
                    lag = millis(w, 1);
                    lagUntil = now + millis(w, 2);
                }
                case "hang" -> hangUntil = now + millis(w, 1);
                case "err" -> errUntil = now + millis(w, 1);
                case "empty" -> emptyUntil = now + millis(w, 1);
                default ->
                        throw new IllegalArgumentException(
                                "unknown; known are lag MS FOR_MS, hang MS, err MS," + " empty MS");
            }
            return HttpMessage.response(200, "text/plain", "done\n");
        } catch (IllegalArgumentException e) {
            return HttpMessage.response(400, "text/plain", "bad command: " + e.getMessage() + "\n");
        }
    }

    private static long millis(String[] words, int at) {
        if (words.length <= at) {
            throw new IllegalArgumentException("a time in milliseconds is missing");
        }
        return 1000 * Long.parseLong(words[at]);
    }
}

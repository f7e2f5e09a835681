package sorrelhoist.standin.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import javax.xml.stream.XMLStreamException;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.standin.registry.LeaseChange.Action;

/** Eureka's REST operations on a lease table. */
final class EurekaRequestHandler {
    private static final String APPLICATIONS_PATH = "/eureka/apps";
    private static final String INSTANCES_PATH = "/eureka/instances/";
    private static final long DEFAULT_LEASE_MICROS = 90_000_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final String UP = "UP";
    private static final HttpMessage OK = HttpMessage.response(200, "", "");
    private static final HttpMessage NO_CONTENT = HttpMessage.response(204, "", "");
    private static final HttpMessage NOT_FOUND = HttpMessage.response(404, "", "");
    private final ObjectMapper json = new ObjectMapper();
    private final LeaseTable leases;
    private final RegistryFaults faults;
    private final RegistryTrace trace;

    EurekaRequestHandler(LeaseTable leases, RegistryFaults faults, RegistryTrace trace) {
        this.leases = leases;
        this.faults = faults;
        this.trace = trace;
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @param nowMicros the time, microseconds since 1970
     * @return the answer
     * @throws JsonProcessingException if the request's JSON is malformed
     * @throws XMLStreamException if the request's XML is malformed
     * @throws IllegalArgumentException if a registration lacks a required field
     */
    HttpMessage handle(HttpMessage request, long nowMicros)
            throws JsonProcessingException, XMLStreamException {
        String path = request.path().replaceAll("/+$", "");
        if (path.startsWith(INSTANCES_PATH) && request.method().equals("GET")) {
            return leases.findByInstanceId(path.substring(INSTANCES_PATH.length()))
                    .map(lease -> instance(request, lease))
                    .orElse(NOT_FOUND);
        }
        if (!path.startsWith(APPLICATIONS_PATH)) {
            return NOT_FOUND;
        }
        // Either nothing, or an empty segment before the application's name.
        String[] segments = path.substring(APPLICATIONS_PATH.length()).split("/");
        return switch (request.method() + " " + segments.length) {
            case "GET 1" -> allApplications(request, nowMicros);
            case "GET 2" ->
                    segments[1].equals("delta")
                            ? delta(request, nowMicros)
                            : application(request, segments[1]);
            case "POST 2" -> register(request, segments[1], nowMicros);
            default -> onInstance(request, segments, nowMicros);
        };
    }

    private HttpMessage onInstance(HttpMessage request, String[] segments, long now) {
        Lease lease = segments.length < 3 ? null : leases.find(segments[1], segments[2]);
        if (lease == null) {
            return NOT_FOUND;
        }
        return switch (request.method() + " " + segments.length) {
            case "GET 3" -> instance(request, lease);
            case "PUT 3" -> renew(request, lease, now);
            case "DELETE 3" -> {
                leases.delete(lease);
                yield OK;
            }
            case "PUT 4" -> overrideStatus(request, segments[3], lease, now);
            case "DELETE 4" -> removeOverride(request, lease, now);
            default -> NOT_FOUND;
        };
    }

    private HttpMessage renew(HttpMessage request, Lease lease, long now) {
        Lease renewed = lease.renewed(now);
        leases.renew(renewed);
        String status = request.queryParameter("status");
        if (status != null && !status.equals(lease.ownStatus())) {
            leases.modify(renewed.withStatus(status, lease.overriddenStatus(), now));
        }
        return OK;
    }

    private HttpMessage overrideStatus(
            HttpMessage request, String resource, Lease lease, long now) {
        String status = request.queryParameter("value");
        if (!resource.equals("status") || status == null) {
            return HttpMessage.response(400, "text/plain", "give status?value=STATUS\n");
        }
        String overridden = status.equals(UP) ? null : status;
        leases.modify(lease.withStatus(lease.ownStatus(), overridden, now));
        return OK;
    }

    private HttpMessage removeOverride(HttpMessage request, Lease lease, long now) {
        String status = request.queryParameter("value");
        leases.modify(lease.withStatus(status == null ? lease.ownStatus() : status, null, now));
        return OK;
    }

    private HttpMessage register(HttpMessage request, String application, long now)
            throws JsonProcessingException, XMLStreamException {
        String contentType = request.header("content-type");
        boolean isXml = contentType != null && contentType.contains("xml");
        JsonNode root =
                isXml ? XmlParser.parse(request.bodyText()) : json.readTree(request.bodyText());
        if (!(root.get("instance") instanceof ObjectNode info)) {
            throw new IllegalArgumentException("an object \"instance\" is missing");
        }
        String id = info.path("instanceId").asText(info.path("hostName").asText(""));
        if (id.isEmpty()) {
            throw new IllegalArgumentException("instanceId or hostName is missing");
        }
        Lease known = leases.find(application, id);
        leases.register(
                new Lease(
                        application.toUpperCase(Locale.ROOT),
                        id,
                        info,
                        info.path("status").asText(UP),
                        known == null ? null : known.overriddenStatus(),
                        now,
                        leaseMicros(info),
                        now));
        return NO_CONTENT;
    }

    private static long leaseMicros(ObjectNode info) {
        long seconds = info.path("leaseInfo").path("durationInSecs").asLong(0);
        return seconds > 0 ? seconds * MICROS_PER_SECOND : DEFAULT_LEASE_MICROS;
    }

    private HttpMessage allApplications(HttpMessage request, long now) {
        List<Lease> listed =
                faults.listsNothing(now)
                        ? List.of()
                        : leases.snapshotAt(faults.visibleAt(now)).leases();
        trace.listPublished(listed);
        List<ObjectNode> instances =
                listed.stream().map(lease -> EurekaListing.instance(lease, Action.ADDED)).toList();
        return document(
                request, EurekaListing.applications(instances, EurekaListing.statusCounts(listed)));
    }

    private HttpMessage delta(HttpMessage request, long now) {
        LeaseSnapshot snapshot = leases.snapshotAt(faults.visibleAt(now));
        boolean empty = faults.listsNothing(now);
        List<LeaseChange> changes = empty ? List.of() : snapshot.changes();
        trace.changesPublished(changes);
        List<ObjectNode> instances =
                changes.stream()
                        .map(change -> EurekaListing.instance(change.lease(), change.action()))
                        .toList();
        String statusCounts = empty ? "" : EurekaListing.statusCounts(snapshot.leases());
        return document(request, EurekaListing.applications(instances, statusCounts));
    }

    private HttpMessage application(HttpMessage request, String name) {
        List<ObjectNode> instances =
                leases.ofApplication(name).stream()
                        .map(lease -> EurekaListing.instance(lease, Action.ADDED))
                        .toList();
        if (instances.isEmpty()) {
            return NOT_FOUND;
        }
        ObjectNode root = json.createObjectNode();
        String upperCase = name.toUpperCase(Locale.ROOT);
        root.set("application", EurekaListing.application(upperCase, instances));
        return document(request, root);
    }

    private HttpMessage instance(HttpMessage request, Lease lease) {
        ObjectNode root = json.createObjectNode();
        root.set("instance", EurekaListing.instance(lease, Action.ADDED));
        return document(request, root);
    }

    private static HttpMessage document(HttpMessage request, ObjectNode root) {
        String accept = request.header("accept");
        return accept != null && accept.contains("json")
                ? HttpMessage.response(200, "application/json", root.toString())
                : HttpMessage.response(200, "application/xml", XmlWriter.write(root));
    }
}

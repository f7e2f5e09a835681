package sorrelhoist.planner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import sorrelhoist.core.members.RegistryView;
import sorrelhoist.protocol.http1.HttpClient;
import sorrelhoist.protocol.http1.HttpMessage;

/**
 * Reads the instances of a Eureka registry over its REST API. Fetches the complete list first and
 * then deltas, and the complete list again if a delta's hash code shows that the local list is out
 * of date.
 */
final class RegistryClient {
    private static final String ALL_PATH = "/eureka/apps";
    private static final String DELTA_PATH = "/eureka/apps/delta";
    private static final Map<String, String> HEADERS = Map.of("accept", "application/json");
    private static final int STATUS_OK = 200;
    private static final String APPLICATIONS = "applications";
    private static final String DEFAULT_ACTION = "MODIFIED";
    private static final String DEFAULT_STATUS = "UNKNOWN";

    private final ObjectMapper json = new ObjectMapper();
    private final HttpClient http;
    private final String application;
    private final long timeoutMicros;
    private final RegistryView view = new RegistryView();

    /**
     * Creates a client.
     *
     * @param loop the event loop of the client
     * @param address the registry's address
     * @param application the application whose instances are the engines
     * @param timeoutMicros the timeout of a request, in microseconds
     */
    RegistryClient(EventLoop loop, String address, String application, long timeoutMicros) {
        this.http = new HttpClient(loop, address);
        this.application = application;
        this.timeoutMicros = timeoutMicros;
    }

    /**
     * Returns the engines' instances that the registry lists now; fails if they cannot be fetched.
     */
    CompletableFuture<List<RegistryView.Instance>> fetch() {
        return (view.isComplete() ? fetchDelta() : fetchAll()).thenApply(this::engines);
    }

    private List<RegistryView.Instance> engines(RegistryView registry) {
        return registry.instances().stream()
                .filter(instance -> instance.app().equalsIgnoreCase(application))
                .toList();
    }

    private CompletableFuture<RegistryView> fetchAll() {
        return get(ALL_PATH)
                .thenApply(
                        root -> {
                            view.replaceAll(
                                    instances(root).stream()
                                            .map(RegistryClient::instance)
                                            .toList());
                            return view;
                        });
    }

    private CompletableFuture<RegistryView> fetchDelta() {
        return get(DELTA_PATH)
                .thenCompose(
                        root ->
                                applyDelta(root)
                                        ? CompletableFuture.completedFuture(view)
                                        : fetchAll());
    }

    private boolean applyDelta(JsonNode root) {
        List<RegistryView.Change> changes =
                instances(root).stream().map(RegistryClient::change).toList();
        String hashCode = root.path(APPLICATIONS).path("apps__hashcode").asText("");
        return view.applyDelta(changes, hashCode);
    }

    private CompletableFuture<JsonNode> get(String path) {
        HttpMessage request = HttpMessage.request("GET", path, HEADERS, new byte[0]);
        return http.send(request, timeoutMicros).thenApply(response -> parse(path, response));
    }

    private JsonNode parse(String path, HttpMessage response) {
        if (response.status() != STATUS_OK) {
            throw new RegistryException(
                    "registry returned status " + response.status() + " for GET " + path);
        }
        JsonNode root;
        try {
            root = json.readTree(response.body());
        } catch (IOException e) {
            throw new RegistryException(
                    "registry response to GET " + path + " is not valid JSON", e);
        }
        if (!root.path(APPLICATIONS).isObject()) {
            throw new RegistryException(
                    "registry response to GET " + path + " has no \"applications\" object");
        }
        return root;
    }

    private static List<JsonNode> instances(JsonNode root) {
        List<JsonNode> instances = new ArrayList<>();
        for (JsonNode app : elements(root.path(APPLICATIONS).path("application"))) {
            instances.addAll(elements(app.path("instance")));
        }
        return instances;
    }

    /**
     * Returns the elements of a list. JSON converted from XML may contain a list with one element
     * as the element itself.
     */
    private static List<JsonNode> elements(JsonNode node) {
        List<JsonNode> elements = new ArrayList<>();
        if (node.isArray()) {
            node.forEach(elements::add);
        } else if (node.isObject()) {
            elements.add(node);
        }
        return elements;
    }

    private static RegistryView.Change change(JsonNode node) {
        return new RegistryView.Change(
                node.path("actionType").asText(DEFAULT_ACTION), instance(node));
    }

    private static RegistryView.Instance instance(JsonNode node) {
        Map<String, String> metadata = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> field : node.path("metadata").properties()) {
            metadata.put(field.getKey(), field.getValue().asText());
        }
        String id = node.path("instanceId").asText(node.path("hostName").asText(""));
        String host = node.path("ipAddr").asText("");
        String port = node.path("port").path("$").asText("0");
        return new RegistryView.Instance(
                node.path("app").asText(""),
                id,
                node.path("status").asText(DEFAULT_STATUS),
                host + ":" + port,
                metadata);
    }
}

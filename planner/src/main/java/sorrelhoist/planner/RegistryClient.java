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
 * Reads a Eureka registry's list over its REST API: all of it at first, then deltas, and all of it
 * again wherever a delta's hash code shows that something was missed.
 */
final class RegistryClient {
    private static final Map<String, String> ACCEPT = Map.of("accept", "application/json");
    private final ObjectMapper json = new ObjectMapper();
    private final HttpClient http;
    private final String app;
    private final long timeout;
    private final RegistryView view = new RegistryView();

    RegistryClient(EventLoop loop, String address, String app, long timeoutMicros) {
        this.http = new HttpClient(loop, address);
        this.app = app;
        this.timeout = timeoutMicros;
    }

    /** {@return the engines' instances as listed now, or why they can't be told} */
    CompletableFuture<List<RegistryView.Instance>> fetch() {
        return (view.isComplete() ? delta() : full())
                .thenApply(
                        v ->
                                v.instances().stream()
                                        .filter(i -> i.app().equalsIgnoreCase(app))
                                        .toList());
    }

    private CompletableFuture<RegistryView> full() {
        return get("/eureka/apps")
                .thenApply(
                        root -> {
                            List<RegistryView.Instance> all = new ArrayList<>();
                            instances(root).forEach(i -> all.add(instance(i)));
                            view.replaceAll(all);
                            return view;
                        });
    }

    private CompletableFuture<RegistryView> delta() {
        return get("/eureka/apps/delta")
                .thenCompose(
                        root -> {
                            List<RegistryView.Change> changes = new ArrayList<>();
                            instances(root)
                                    .forEach(
                                            i ->
                                                    changes.add(
                                                            new RegistryView.Change(
                                                                    i.path("actionType")
                                                                            .asText("MODIFIED"),
                                                                    instance(i))));
                            String hash =
                                    root.path("applications").path("apps__hashcode").asText("");
                            return view.applyDelta(changes, hash)
                                    ? CompletableFuture.completedFuture(view)
                                    : full();
                        });
    }

    private CompletableFuture<JsonNode> get(String path) {
        return http.send(HttpMessage.request("GET", path, ACCEPT, new byte[0]), timeout)
                .thenApply(
                        r -> {
                            if (r.status() != 200) {
                                throw new IllegalStateException(
                                        "the registry answered " + r.status() + " to GET " + path);
                            }
                            try {
                                JsonNode root = json.readTree(r.body());
                                if (!root.path("applications").isObject()) {
                                    throw new IllegalStateException(
                                            "the registry's answer to GET "
                                                    + path
                                                    + " holds no applications");
                                }
                                return root;
                            } catch (IOException e) {
                                throw new IllegalStateException(
                                        "the registry's answer to GET " + path + " is no JSON", e);
                            }
                        });
    }

    /** A list of one may come as the one itself: the published JSON is made from XML. */
    private static List<JsonNode> list(JsonNode node) {
        List<JsonNode> all = new ArrayList<>();
        if (node.isArray()) {
            node.forEach(all::add);
        } else if (node.isObject()) {
            all.add(node);
        }
        return all;
    }

    private static List<JsonNode> instances(JsonNode root) {
        List<JsonNode> all = new ArrayList<>();
        for (JsonNode application : list(root.path("applications").path("application"))) {
            list(application.path("instance")).forEach(all::add);
        }
        return all;
    }

    private static RegistryView.Instance instance(JsonNode i) {
        Map<String, String> metadata = new LinkedHashMap<>();
        for (var f = i.path("metadata").fields(); f.hasNext(); ) {
            var e = f.next();
            metadata.put(e.getKey(), e.getValue().asText());
        }
        String id = i.path("instanceId").asText(i.path("hostName").asText(""));
        return new RegistryView.Instance(
                i.path("app").asText(""),
                id,
                i.path("status").asText("UNKNOWN"),
                i.path("ipAddr").asText("") + ":" + i.path("port").path("$").asText("0"),
                metadata);
    }
}

package sorrelhoist.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.lab.scenario.Scenario;

/**
 * Writes the settings of a scenario's processes: each a small Jsonnet file over the template of its
 * kind, as an operator would write them.
 */
final class FleetFiles {
    private final ObjectMapper json = new ObjectMapper();
    private final Path folder;
    private final Scenario scenario;
    private final Set<String> edgesWithoutRecording = new HashSet<>();
    private final Map<String, Long> engineExtra;

    FleetFiles(Path folder, Scenario scenario, Map<String, Long> engineExtra) {
        this.folder = folder;
        this.scenario = scenario;
        this.engineExtra = engineExtra;
    }

    Path registry(int port) throws IOException {
        ObjectNode settings = json.createObjectNode();
        settings.put("port", port).put("trace", trace("registry"));
        return write("registry", "registry", settings);
    }

    Path planner(int port, String registry) throws IOException {
        ObjectNode settings = json.createObjectNode();
        settings.put("port", port).put("registry", registry).put("edges", edges());
        return write("planner", "planner", settings);
    }

    void disableRecording(String edge) {
        edgesWithoutRecording.add(edge);
    }

    Path edge(String name, String zone, int port, String planner) throws IOException {
        ObjectNode settings = json.createObjectNode();
        settings.put("name", name)
                .put("zone", zone)
                .put("port", port)
                .put("planner", planner)
                .put("routers", edges());
        ArrayNode zones = settings.putArray("zones");
        scenario.zones().forEach(z -> zones.add(z.name()));
        return write(
                name,
                "edge",
                settings,
                edgesWithoutRecording.contains(name)
                        ? ""
                        : "record+: { folder: '" + folder.resolve("record").resolve(name) + "' }");
    }

    Path engine(
            String id,
            String role,
            String zone,
            String rack,
            String registry,
            boolean warm,
            long seed)
            throws IOException {
        ObjectNode settings = json.createObjectNode();
        settings.put("id", id)
                .put("role", role)
                .put("kind", role.equals("read") ? "prefill" : "decode")
                .put("zone", zone)
                .put("rack", rack)
                .put("registry", registry)
                .put("warm", warm)
                .put("trace", trace(id))
                .put("seed", seed);
        // "write:NAME" is for writers alone, and wins over NAME.
        engineExtra.forEach(
                (key, value) -> {
                    Long ofWriters = role.equals("write") ? engineExtra.get("write:" + key) : null;
                    if (!key.startsWith("write:")) {
                        settings.put(key, ofWriters == null ? value : ofWriters);
                    }
                });
        return write(id + (warm ? "" : "-cold"), "engine", settings);
    }

    private int edges() {
        return scenario.zones().stream().mapToInt(Scenario.Zone::edges).sum();
    }

    Path traces() throws IOException {
        return Files.createDirectories(folder.resolve("trace"));
    }

    private String trace(String name) throws IOException {
        return traces().resolve(name + ".jsonl").toString();
    }

    private Path write(String name, String template, ObjectNode own) throws IOException {
        return write(name, template, own, "");
    }

    private Path write(String name, String template, ObjectNode own, String nested)
            throws IOException {
        Path file = folder.resolve(name + ".jsonnet");
        Files.write(
                file,
                List.of(
                        "(import '"
                                + template
                                + ".libsonnet') + "
                                + own.toPrettyString()
                                + " { "
                                + nested
                                + " }"));
        return file;
    }
}

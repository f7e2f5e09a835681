package sorrelhoist.app.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The templates yield valid settings, and every error in settings is reported with its path. */
class ConfigTest {
    private static final String EDGE =
            "(import 'edge.libsonnet') + { name: 'e', zone: 'a', planner: '127.0.0.1:9' }";
    @TempDir Path folder;

    @BeforeEach
    void templates() throws IOException {
        Config.writeTemplates(folder);
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("x.jsonnet"), text);
    }

    private List<String> errors(String text) throws IOException {
        Path f = file(text);
        return assertThrows(InvalidSettingsException.class, () -> Config.check(f)).errors();
    }

    @Test
    void everyTemplateYieldsValidSettings() throws Exception {
        assertEquals(Config.Kind.EDGE, Config.check(file(EDGE)));
        assertEquals(
                Config.Kind.PLANNER,
                Config.check(file("(import 'planner.libsonnet') + { registry: '127.0.0.1:1' }")));
        assertEquals(
                Config.Kind.ENGINE,
                Config.check(
                        file(
                                "(import 'engine.libsonnet') + { id: 'x', kind: 'k', "
                                        + "role: 'read', zone: 'a', rack: 'r' }")));
        assertEquals(Config.Kind.REGISTRY, Config.check(file("import 'registry.libsonnet'")));
        assertEquals(2, Config.edge(file(EDGE)).classes().size());
        assertEquals(
                500_000,
                Config.edge(file(EDGE))
                        .router(1)
                        .routing()
                        .serverLimits()
                        .reservationLimitMicros());
    }

    @Test
    void errorsAreReportedTogetherWithTheirPaths() throws IOException {
        List<String> all =
                errors(
                        EDGE
                                + " + { port: 'x', serving+: { maxOpen: -1, drainsMs: 5 }, limits+:"
                                + " { cancel: 1 } }");
        assertTrue(all.contains("port: expected a whole number, not \"x\""), all.toString());
        assertTrue(
                all.contains("serving.drainsMs: unknown setting; did you mean drainMs?"),
                all.toString());
        assertTrue(all.contains("limits.cancel: expected true or false, not 1"), all.toString());
        List<String> ranges =
                errors(
                        EDGE
                                + " + { port: 70000, zone: 'b', zones: ['a'], planner:"
                                + " '10.0.0.1:5', rules+: { coldFrom: 0 }, classes: [{ name: 'c',"
                                + " aimMs: 5, aimMsPer1000: 0, deadlineMs: 4, deadlineMsPer1000: 0,"
                                + " worth: 1, repeat: 'often', scope: 'all', repeatWindowMs: 0 }]"
                                + " }");
        assertTrue(ranges.contains("port: must be from 0 to 65535, not 70000"), ranges.toString());
        assertTrue(
                ranges.stream().anyMatch(f -> f.startsWith("zone: \"b\" is not among zones")),
                ranges.toString());
        assertTrue(
                ranges.stream().anyMatch(f -> f.startsWith("planner: address \"10.0.0.1:5\"")),
                ranges.toString());
        assertTrue(
                ranges.contains(
                        "classes[0].repeat: must be one of [keyed, safe, unsafe], not"
                                + " \"often\""));
        assertTrue(
                ranges.contains("classes[0].deadlineMs: must not be less than aimMs"),
                ranges.toString());
        assertTrue(
                ranges.stream().anyMatch(f -> f.startsWith("rules.coldFrom")), ranges.toString());
    }

    @Test
    void errorsOfTemplatesAndFilesAreReported() throws IOException {
        assertTrue(
                errors("(import 'edge.libsonnet') + { zone: 'a', planner: '127.0.0.1:9' }")
                        .get(0)
                        .contains("give this edge a unique name that stays the same"));
        assertTrue(errors("{ broken ").size() > 0);
        Path missing = folder.resolve("missing.jsonnet");
        assertTrue(
                assertThrows(InvalidSettingsException.class, () -> Config.check(missing))
                        .getMessage()
                        .contains("no such file"));
    }
}

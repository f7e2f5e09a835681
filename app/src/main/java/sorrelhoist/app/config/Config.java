package sorrelhoist.app.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import sorrelhoist.edge.EdgeSettings;
import sorrelhoist.planner.PlannerSettings;
import sorrelhoist.standin.engine.EngineSettings;
import sorrelhoist.standin.registry.RegistryStandIn;

/** Settings: Jsonnet templates, checked whole before anything starts. */
public final class Config {
    /** Settings that cannot be used, with all that is wrong with them. */
    public static final class Faulty extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> faults;

        Faulty(Path file, List<String> faults) {
            super(file + ": " + String.join("\n" + file + ": ", faults));
            this.faults = faults;
        }

        /** {@return each fault, as path: what} */
        public List<String> faults() {
            return faults;
        }
    }

    /** Kinds of settings, as {@code config check} tells them apart. */
    public enum Kind {
        EDGE,
        PLANNER,
        ENGINE,
        REGISTRY
    }

    private static final String[] TEMPLATES = {"edge", "planner", "engine", "registry"};

    private Config() {}

    /** {@return the settings of an edge} */
    public static EdgeSettings edge(Path file) throws Faulty {
        return load(file, EdgeSettings.class, Checks::edge);
    }

    /** {@return the settings of a planner} */
    public static PlannerSettings planner(Path file) throws Faulty {
        return load(file, PlannerSettings.class, Checks::planner);
    }

    /** {@return the settings of a stand-in engine} */
    public static EngineSettings engine(Path file) throws Faulty {
        return load(file, EngineSettings.class, Checks::engine);
    }

    /** {@return the settings of a stand-in registry} */
    public static RegistryStandIn.Settings registry(Path file) throws Faulty {
        return load(file, RegistryStandIn.Settings.class, Checks::registry);
    }

    /** {@return what kind of settings a file holds, judged by what only one kind has} */
    public static Kind kind(Path file) throws Faulty {
        JsonNode n = evaluate(file);
        return n.has("planner") || n.has("classes")
                ? Kind.EDGE
                : n.has("edges") || n.has("pollMs")
                        ? Kind.PLANNER
                        : n.has("role") || n.has("slots") ? Kind.ENGINE : Kind.REGISTRY;
    }

    /** Checks a file of any kind. {@return its kind} */
    public static Kind check(Path file) throws Faulty {
        Kind kind = kind(file);
        switch (kind) {
            case EDGE -> edge(file);
            case PLANNER -> planner(file);
            case ENGINE -> engine(file);
            default -> registry(file);
        }
        return kind;
    }

    private static JsonNode evaluate(Path file) throws Faulty {
        try {
            return Jsonnet.evaluate(file);
        } catch (IOException e) {
            throw new Faulty(file, List.of(e.getMessage().replace(file + ": ", "")));
        }
    }

    private static <T> T load(Path file, Class<T> type, BiConsumer<Checks, T> check) throws Faulty {
        List<String> faults = new ArrayList<>();
        T settings = new RecordSchema(faults).read(evaluate(file), type, "");
        if (settings != null) {
            check.accept(new Checks(faults), settings);
        }
        if (!faults.isEmpty()) {
            throw new Faulty(file, faults);
        }
        return settings;
    }

    /**
     * Writes the templates.
     *
     * @param folder where to; made if missing
     */
    public static void writeTemplates(Path folder) throws IOException {
        Files.createDirectories(folder);
        for (String name : TEMPLATES) {
            try (InputStream in =
                    Config.class.getResourceAsStream("/templates/" + name + ".libsonnet")) {
                Files.copy(
                        in,
                        folder.resolve(name + ".libsonnet"),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }
}

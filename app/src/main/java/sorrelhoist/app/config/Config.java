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

/** Loads settings files: Jsonnet, validated completely before a program starts. */
public final class Config {
    /** Kinds of settings, as {@code config check} prints them. */
    public enum Kind {
        /** The settings of an edge. */
        EDGE,

        /** The settings of a planner. */
        PLANNER,

        /** The settings of a stand-in engine. */
        ENGINE,

        /** The settings of a stand-in registry. */
        REGISTRY
    }

    private static final String[] TEMPLATES = {"edge", "planner", "engine", "registry"};
    private static final String TEMPLATE_SUFFIX = ".libsonnet";

    private Config() {}

    /**
     * {@return the settings of an edge}
     *
     * @param file the settings file
     * @throws InvalidSettingsException if the settings are invalid
     */
    public static EdgeSettings edge(Path file) throws InvalidSettingsException {
        return load(file, EdgeSettings.class, EdgeSettingsValidator::validate);
    }

    /**
     * {@return the settings of a planner}
     *
     * @param file the settings file
     * @throws InvalidSettingsException if the settings are invalid
     */
    public static PlannerSettings planner(Path file) throws InvalidSettingsException {
        return load(file, PlannerSettings.class, PlannerSettingsValidator::validate);
    }

    /**
     * {@return the settings of a stand-in engine}
     *
     * @param file the settings file
     * @throws InvalidSettingsException if the settings are invalid
     */
    public static EngineSettings engine(Path file) throws InvalidSettingsException {
        return load(file, EngineSettings.class, StandInSettingsValidator::validate);
    }

    /**
     * {@return the settings of a stand-in registry}
     *
     * @param file the settings file
     * @throws InvalidSettingsException if the settings are invalid
     */
    public static RegistryStandIn.Settings registry(Path file) throws InvalidSettingsException {
        return load(file, RegistryStandIn.Settings.class, StandInSettingsValidator::validate);
    }

    /**
     * {@return the kind of settings in a file, determined by keys that only one kind has}
     *
     * @param file the settings file
     * @throws InvalidSettingsException if the file cannot be evaluated
     */
    public static Kind kind(Path file) throws InvalidSettingsException {
        JsonNode settings = evaluate(file);
        if (settings.has("planner") || settings.has("classes")) {
            return Kind.EDGE;
        } else if (settings.has("edges") || settings.has("pollMs")) {
            return Kind.PLANNER;
        }
        return settings.has("role") || settings.has("slots") ? Kind.ENGINE : Kind.REGISTRY;
    }

    /**
     * Checks a settings file of any kind.
     *
     * @param file the settings file
     * @return the kind of its settings
     * @throws InvalidSettingsException if the settings are invalid
     */
    public static Kind check(Path file) throws InvalidSettingsException {
        Kind kind = kind(file);
        switch (kind) {
            case EDGE -> edge(file);
            case PLANNER -> planner(file);
            case ENGINE -> engine(file);
            case REGISTRY -> registry(file);
        }
        return kind;
    }

    private static JsonNode evaluate(Path file) throws InvalidSettingsException {
        try {
            return Jsonnet.evaluate(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    file, List.of(e.getMessage().replace(file + ": ", "")));
        }
    }

    private static <T> T load(Path file, Class<T> type, BiConsumer<T, SettingsErrors> validator)
            throws InvalidSettingsException {
        List<String> errors = new ArrayList<>();
        T settings = new RecordReader(errors).read(evaluate(file), type, "");
        if (settings != null) {
            validator.accept(settings, new SettingsErrors(errors));
        }
        if (!errors.isEmpty()) {
            throw new InvalidSettingsException(file, errors);
        }
        return settings;
    }

    /**
     * Writes the templates that settings files import.
     *
     * @param folder the target folder; created if missing
     * @throws IOException if the templates cannot be written
     */
    public static void writeTemplates(Path folder) throws IOException {
        Files.createDirectories(folder);
        for (String template : TEMPLATES) {
            String name = template + TEMPLATE_SUFFIX;
            try (InputStream in = Config.class.getResourceAsStream("/templates/" + name)) {
                Files.copy(in, folder.resolve(name), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }
}

package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sorrelhoist.app.config.Config;
import sorrelhoist.app.config.InvalidSettingsException;

/** Checks settings files and writes their templates. */
@Command(
        name = "config",
        description = "Checks settings files, or writes the templates that they import.")
public final class ConfigCommand {
    @Command(name = "check", description = "Checks a settings file; prints errors with paths.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        try {
            Config.Kind kind = Config.check(file);
            System.out.println(
                    file
                            + ": valid settings of a"
                            + (kind == Config.Kind.EDGE || kind == Config.Kind.ENGINE ? "n " : " ")
                            + kind.name().toLowerCase(Locale.ROOT));
            return 0;
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    @Command(name = "init", description = "Writes the templates into a folder.")
    int init(@Parameters(paramLabel = "FOLDER") Path folder) throws IOException {
        Config.writeTemplates(folder);
        System.out.println(
                "templates written to "
                        + folder
                        + ": import them as (import 'edge.libsonnet') + {...}");
        return 0;
    }
}

package sorrelhoist.app.config;

import java.nio.file.Path;
import java.util.List;

/** Thrown for invalid settings, with all errors that were found in them. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> errors;

    InvalidSettingsException(Path file, List<String> errors) {
        super(file + ": " + String.join("\n" + file + ": ", errors));
        this.errors = List.copyOf(errors);
    }

    /** {@return the errors, each with the path of its setting and a description} */
    public List<String> errors() {
        return errors;
    }
}

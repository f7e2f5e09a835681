package sorrelhoist.app.config;

import java.nio.file.Path;
import java.util.List;

/** Settings that cannot be used, with all that is wrong with them. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> errors;

    InvalidSettingsException(Path file, List<String> errors) {
        super(file + ": " + String.join("\n" + file + ": ", errors));
        this.errors = List.copyOf(errors);
    }

    /** {@return the errors, each as the path of a setting and what is wrong there} */
    public List<String> errors() {
        return errors;
    }
}

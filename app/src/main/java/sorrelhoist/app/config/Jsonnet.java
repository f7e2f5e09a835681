package sorrelhoist.app.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import scala.Option;
import sjsonnet.DefaultParseCache;
import sjsonnet.SjsonnetMain;

/** Evaluates Jsonnet templates. */
final class Jsonnet {
    private Jsonnet() {}

    /**
     * Evaluates a file with its imports.
     *
     * @param file a Jsonnet file
     * @return the value of the file's expression
     * @throws IOException if the file cannot be evaluated; its message contains the texts of the
     *     template's own {@code error} expressions
     */
    static JsonNode evaluate(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new IOException(file + ": no such file, or the file is not readable");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                SjsonnetMain.main0(
                        new String[] {file.toAbsolutePath().toString()},
                        new DefaultParseCache(),
                        new ByteArrayInputStream(new byte[0]),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        os.package$.MODULE$.pwd(),
                        Option.empty(),
                        Option.empty(),
                        SjsonnetMain.main0$default$9());
        if (status != 0) {
            String text = err.toString(StandardCharsets.UTF_8).strip();
            throw new IOException(
                    file
                            + ": "
                            + text.replaceAll("(?m)^\\s+at .*$", "").replaceAll("\\s*\\n+", "; "));
        }
        return new ObjectMapper().readTree(out.toByteArray());
    }
}

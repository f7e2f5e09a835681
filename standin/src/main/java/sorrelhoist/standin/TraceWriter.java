package sorrelhoist.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Writes what a stand-in saw on the wire as JSON lines for the judge. Each line is flushed before
 * the next, as the process may be killed at any time.
 */
public final class TraceWriter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final BufferedWriter out;
    private final String source;

    /**
     * Opens a trace.
     *
     * @param file appended to; null to write nothing
     * @param source the name of the stand-in, part of every line
     * @throws IOException if the file cannot be opened
     */
    public TraceWriter(Path file, String source) throws IOException {
        this.source = source;
        this.out =
                file == null
                        ? null
                        : Files.newBufferedWriter(
                                file,
                                StandardCharsets.UTF_8,
                                StandardOpenOption.CREATE,
                                StandardOpenOption.APPEND);
    }

    /** {@return the wall clock's time, microseconds since 1970} */
    public static long nowMicros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }

    /**
     * Writes a line with the time of now.
     *
     * @param event what happened
     * @param fields keys and values by turns
     */
    public synchronized void write(String event, Object... fields) {
        if (out == null) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("t", nowMicros());
        line.put("who", source);
        line.put("ev", event);
        for (int i = 0; i < fields.length; i += 2) {
            line.put((String) fields[i], fields[i + 1]);
        }
        try {
            out.write(JSON.writeValueAsString(line));
            out.write('\n');
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

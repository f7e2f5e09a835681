package sorrelhoist.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a stand-in saw on the wire, as JSON lines for the judge; each is on disk before the next is
 * begun.
 */
public final class Trace {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final BufferedWriter out;
    private final String who;

    /**
     * Opens a trace.
     *
     * @param file appended to; null for none
     * @param who names this stand-in in every line
     */
    public Trace(Path file, String who) throws IOException {
        this.who = who;
        this.out =
                file == null
                        ? null
                        : Files.newBufferedWriter(
                                file,
                                StandardCharsets.UTF_8,
                                StandardOpenOption.CREATE,
                                StandardOpenOption.APPEND);
    }

    /** {@return microseconds since 1970} */
    public static long now() {
        Instant t = Instant.now();
        return t.getEpochSecond() * 1_000_000 + t.getNano() / 1000;
    }

    /**
     * Writes a line.
     *
     * @param event what happened
     * @param pairs names and values
     */
    public synchronized void line(String event, Object... pairs) {
        if (out == null) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("t", now());
        line.put("who", who);
        line.put("ev", event);
        for (int i = 0; i < pairs.length; i += 2) {
            line.put((String) pairs[i], pairs[i + 1]);
        }
        try {
            out.write(JSON.writeValueAsString(line));
            out.write('\n');
            out.flush();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}

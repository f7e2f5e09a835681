package sorrelhoist.lab.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/** What clients saw, as JSON lines for the judge. */
public final class ClientTraceWriter implements AutoCloseable {
    private final ObjectMapper json = new ObjectMapper();
    private final BufferedWriter out;
    private final String who;

    /** Opens a trace. */
    public ClientTraceWriter(Path file, String who) throws IOException {
        this.out = Files.newBufferedWriter(file);
        this.who = who;
    }

    /** {@return microseconds since 1970} */
    public static long nowMicros() {
        Instant t = Instant.now();
        return t.getEpochSecond() * 1_000_000 + t.getNano() / 1000;
    }

    /** Writes a line as of now. */
    public void write(String event, Object... pairs) {
        writeAt(nowMicros(), event, pairs);
    }

    /** Writes a line as of a time. */
    public synchronized void writeAt(long time, String event, Object... pairs) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("t", time);
        line.put("who", who);
        line.put("ev", event);
        for (int i = 0; i < pairs.length; i += 2) {
            line.put((String) pairs[i], pairs[i + 1]);
        }
        try {
            out.write(json.writeValueAsString(line));
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}

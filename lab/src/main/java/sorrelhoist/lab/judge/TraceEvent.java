package sorrelhoist.lab.judge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One thing that a client or a stand-in saw on the wire.
 *
 * @param atMicros microseconds since 1970
 * @param source who saw it
 * @param name what it was
 * @param fields the rest
 */
public record TraceEvent(long atMicros, String source, String name, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** {@return a field's text; empty where there is none} */
    public String text(String name) {
        return fields.path(name).asText("");
    }

    /** {@return a field's number; 0 where there is none} */
    public long number(String name) {
        return fields.path(name).asLong(0);
    }

    /** {@return a field's number; 0 where there is none} */
    public double real(String name) {
        return fields.path(name).asDouble(0);
    }

    /** {@return a field's mark; false where there is none} */
    public boolean flag(String name) {
        return fields.path(name).asBoolean(false);
    }

    /** {@return the line in this text} */
    public static TraceEvent parse(String text) throws IOException {
        JsonNode n = JSON.readTree(text);
        return new TraceEvent(
                n.path("t").asLong(), n.path("who").asText(), n.path("ev").asText(), n);
    }

    /**
     * {@return all lines of the traces in a folder, by time; a last line that a kill cut short is
     * left out}
     */
    public static List<TraceEvent> readAll(Path folder) throws IOException {
        List<TraceEvent> all = new ArrayList<>();
        List<Path> files;
        try (Stream<Path> list = Files.list(folder)) {
            files = list.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList();
        }
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file);
            for (int i = 0; i < lines.size(); i++) {
                try {
                    all.add(parse(lines.get(i)));
                } catch (IOException e) {
                    boolean restartFollows = lines.get(i).contains("\"ev\":\"start\"");
                    if (i + 1 < lines.size() && !restartFollows) {
                        throw new IOException(file + ":" + (i + 1) + ": no trace line", e);
                    }
                }
            }
        }
        all.sort(Comparator.comparingLong(TraceEvent::atMicros));
        return all;
    }
}

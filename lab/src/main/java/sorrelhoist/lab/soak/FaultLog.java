package sorrelhoist.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Locale;

/** The file in which a run notes each fault that it injects, with its time. */
final class FaultLog {
    private static final String FILE_NAME = "troubles.log";
    private final Path file;
    private final FleetTimeline timeline;

    FaultLog(Path folder, FleetTimeline timeline) {
        this.file = folder.resolve(FILE_NAME);
        this.timeline = timeline;
    }

    void write(String text) throws IOException {
        double seconds = timeline.secondsSinceStart(System.nanoTime());
        String line = String.format(Locale.ROOT, "%.3f %s%n", seconds, text);
        Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
}

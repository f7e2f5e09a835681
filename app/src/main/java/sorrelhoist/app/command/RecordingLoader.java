package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import sorrelhoist.core.record.CorruptRecordException;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.SegmentRetention;

/** Loads recordings from files. */
final class RecordingLoader {
    private RecordingLoader() {}

    /**
     * Loads a recording and prints the faults that are found in its files to standard error.
     *
     * @param location a record file or a folder of record files
     */
    static Recording load(Path location) throws IOException, CorruptRecordException {
        List<byte[]> files = new ArrayList<>();
        for (Path file : Files.isDirectory(location) ? recordFiles(location) : List.of(location)) {
            files.add(Files.readAllBytes(file));
        }
        Recording recording = Recording.of(files);
        recording.faults().forEach(fault -> System.err.println("note: " + fault));
        return recording;
    }

    private static List<Path> recordFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(SegmentRetention.FILE_SUFFIX))
                    .sorted()
                    .toList();
        }
    }
}

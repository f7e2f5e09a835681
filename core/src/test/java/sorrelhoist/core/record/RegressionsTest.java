package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import sorrelhoist.routing.Routing.*;

/**
 * Past failures as records: each was cut by `record cut --build` from what an edge recorded, and
 * holds what the build before its fix said. A request that was refused or failed there for want of
 * room has to be sent now.
 */
class RegressionsTest {
    private static final Path RECORDS = Path.of("src/test/resources/records");

    static Stream<Path> records() throws IOException {
        return Files.list(RECORDS)
                .filter(p -> p.toString().endsWith(SegmentRetention.FILE_SUFFIX))
                .sorted();
    }

    private static Set<Long> ended(Recording tape) {
        Set<Long> ids = new HashSet<>();
        tape.entries().stream()
                .filter(l -> l.entry() instanceof RecordEntry.Decision)
                .flatMap(l -> ((RecordEntry.Decision) l.entry()).actions().stream())
                .filter(a -> a instanceof Refuse || a instanceof Fail)
                .forEach(a -> ids.add(RequestTimeline.request(a)));
        return ids;
    }

    @ParameterizedTest
    @MethodSource("records")
    void whatEndedForWantOfRoomIsSentNow(Path record) throws IOException, CorruptRecordException {
        Recording before = Recording.of(List.of(Files.readAllBytes(record)));
        Set<Long> ended = ended(before);
        assertFalse(ended.isEmpty(), record + " holds no failure");
        ended.removeAll(ended(Replay.again(before)));
        assertTrue(!ended.isEmpty(), record + ": the same requests end as before");
    }
}

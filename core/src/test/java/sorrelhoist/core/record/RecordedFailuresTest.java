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
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;

/**
 * Replays recordings of past failures. Each recording was reduced by {@code record cut --build}
 * from a router's record and contains the decisions of the build before the fix. At least one
 * request that was rejected or failed there for lack of capacity has to be forwarded now.
 */
class RecordedFailuresTest {
    private static final Path RECORDS = Path.of("src/test/resources/records");

    static Stream<Path> records() throws IOException {
        try (Stream<Path> files = Files.list(RECORDS)) {
            return files
                    .filter(path -> path.toString().endsWith(SegmentRetention.FILE_SUFFIX))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    private static Set<Long> ended(Recording recording) {
        Set<Long> ids = new HashSet<>();
        recording.entries().stream()
                .filter(numbered -> numbered.entry() instanceof RecordEntry.Decision)
                .flatMap(numbered -> ((RecordEntry.Decision) numbered.entry()).actions().stream())
                .filter(action -> action instanceof Refuse || action instanceof Fail)
                .forEach(action -> ids.add(RequestIds.of(action)));
        return ids;
    }

    @ParameterizedTest
    @MethodSource("records")
    void aRequestThatEndedForLackOfCapacityIsForwardedNow(Path record)
            throws IOException, CorruptRecordException {
        Recording before = Recording.of(List.of(Files.readAllBytes(record)));
        Set<Long> ended = ended(before);
        assertFalse(ended.isEmpty(), record + " contains no rejected or failed request");
        ended.removeAll(ended(Replay.withReplayedActions(before)));
        assertTrue(!ended.isEmpty(), record + ": no rejected or failed request is forwarded now");
    }
}

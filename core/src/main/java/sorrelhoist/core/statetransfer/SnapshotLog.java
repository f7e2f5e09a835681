package sorrelhoist.core.statetransfer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The form of a router's past on disk: a header, then frames that each carry their length, a
 * checksum and when they were written. A kill at any byte leaves whole frames and a tail that shows
 * itself as cut; what is damaged or foreign is never taken for knowledge.
 */
public final class SnapshotLog {
    /**
     * One frame.
     *
     * @param savedAt when it was written, microseconds since 1970
     * @param payload its content
     */
    public record Frame(long savedAt, byte[] payload) {}

    /**
     * What a file holds.
     *
     * @param frames whole frames, in their order
     * @param validBytes up to where it is sound; a writer goes on from there
     * @param fault what is wrong after that, or null; a cut tail is no fault
     * @param foreign whether it is no file of this program at all
     */
    public record ReadResult(List<Frame> frames, int validBytes, String fault, boolean foreign) {}

    private static final byte[] HEADER = {'S', 'R', 'L', 'P', 'A', 'S', 'T', '1'};
    private static final int FRAME = 4 + 4 + 8;

    /** Bytes that a frame's content may have. */
    public static final int MAX_PAYLOAD = 64 << 20;

    private SnapshotLog() {}

    /** {@return what a new file begins with} */
    public static byte[] header() {
        return HEADER.clone();
    }

    /** {@return the bytes of one frame} */
    public static byte[] encodeFrame(long savedAt, byte[] payload) {
        ByteBuffer out = ByteBuffer.allocate(FRAME + payload.length);
        out.putInt(payload.length).putInt(sum(savedAt, payload)).putLong(savedAt).put(payload);
        return out.array();
    }

    private static int sum(long savedAt, byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(12).putInt(payload.length).putLong(savedAt).flip());
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Reads a file's bytes. Never fails: what cannot be read is said. */
    public static ReadResult read(byte[] file) {
        int common = Math.min(file.length, HEADER.length);
        if (!Arrays.equals(file, 0, common, HEADER, 0, common)) {
            return new ReadResult(List.of(), 0, "not a past of this program", true);
        }
        if (file.length < HEADER.length) {
            return new ReadResult(List.of(), 0, null, false);
        }
        List<Frame> frames = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(file).position(HEADER.length);
        int valid = HEADER.length;
        while (in.remaining() >= FRAME) {
            int length = in.getInt();
            int sum = in.getInt();
            long savedAt = in.getLong();
            if (length < 0 || length > MAX_PAYLOAD) {
                return new ReadResult(
                        frames,
                        valid,
                        "a frame's length of " + length + " at byte " + valid,
                        false);
            }
            if (length > in.remaining()) {
                return new ReadResult(frames, valid, null, false);
            }
            byte[] payload = new byte[length];
            in.get(payload);
            if (sum(savedAt, payload) != sum) {
                return new ReadResult(frames, valid, "a frame's checksum at byte " + valid, false);
            }
            frames.add(new Frame(savedAt, payload));
            valid = in.position();
        }
        return new ReadResult(frames, valid, null, false);
    }
}

package sorrelhoist.core.statetransfer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The form of a router's snapshots on disk: a file header, then frames that each carry their
 * length, a checksum (CRC32C) and when they were written. A process killed at any byte leaves whole
 * frames and a tail that shows as cut; damaged or foreign bytes are never taken for a frame.
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

    private static final byte[] FILE_HEADER = {'S', 'R', 'L', 'P', 'A', 'S', 'T', '1'};
    private static final int FRAME_HEADER_BYTES = Integer.BYTES + Integer.BYTES + Long.BYTES;

    /** Bytes that a frame's content may have. */
    public static final int MAX_PAYLOAD_BYTES = 64 << 20;

    private SnapshotLog() {}

    /** {@return what a new file begins with} */
    public static byte[] header() {
        return FILE_HEADER.clone();
    }

    /**
     * Encodes a frame.
     *
     * @param savedAt when it is written, microseconds since 1970
     * @param payload its content
     * @return its bytes
     */
    public static byte[] encodeFrame(long savedAt, byte[] payload) {
        return ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .putInt(checksum(savedAt, payload))
                .putLong(savedAt)
                .put(payload)
                .array();
    }

    private static int checksum(long savedAt, byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(
                ByteBuffer.allocate(Integer.BYTES + Long.BYTES)
                        .putInt(payload.length)
                        .putLong(savedAt)
                        .flip());
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Reads a file's bytes. Never fails: what cannot be read is reported as the fault. */
    public static ReadResult read(byte[] file) {
        int common = Math.min(file.length, FILE_HEADER.length);
        if (!Arrays.equals(file, 0, common, FILE_HEADER, 0, common)) {
            return new ReadResult(List.of(), 0, "not a past of this program", true);
        }
        if (file.length < FILE_HEADER.length) {
            return new ReadResult(List.of(), 0, null, false);
        }
        return readFrames(ByteBuffer.wrap(file).position(FILE_HEADER.length));
    }

    private static ReadResult readFrames(ByteBuffer in) {
        List<Frame> frames = new ArrayList<>();
        int validBytes = in.position();
        while (in.remaining() >= FRAME_HEADER_BYTES) {
            int length = in.getInt();
            int checksum = in.getInt();
            long savedAt = in.getLong();
            if (length < 0 || length > MAX_PAYLOAD_BYTES) {
                String fault = "a frame's length of " + length + " at byte " + validBytes;
                return new ReadResult(frames, validBytes, fault, false);
            }
            if (length > in.remaining()) {
                break;
            }
            byte[] payload = new byte[length];
            in.get(payload);
            if (checksum(savedAt, payload) != checksum) {
                String fault = "a frame's checksum at byte " + validBytes;
                return new ReadResult(frames, validBytes, fault, false);
            }
            frames.add(new Frame(savedAt, payload));
            validBytes = in.position();
        }
        return new ReadResult(frames, validBytes, null, false);
    }
}

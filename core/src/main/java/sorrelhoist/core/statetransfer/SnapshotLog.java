package sorrelhoist.core.statetransfer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The format of a router's snapshot files: a file header, followed by frames. Each frame has its
 * length, a checksum (CRC32C) and the time when it was written. A process that is killed at any
 * byte leaves whole frames and a tail that is recognized as truncated; damaged or foreign bytes are
 * never accepted as a frame.
 */
public final class SnapshotLog {
    /**
     * One frame.
     *
     * @param savedAt time when it was written, in microseconds since 1970
     * @param payload content of the frame
     */
    public record Frame(long savedAt, byte[] payload) {}

    /**
     * The content of a file.
     *
     * @param frames whole frames, in their order
     * @param validBytes length of the valid beginning of the file; a writer continues there
     * @param fault description of what is wrong after that, or null; a truncated tail is not a
     *     fault
     * @param foreign whether the file was not written by this program
     */
    public record ReadResult(List<Frame> frames, int validBytes, String fault, boolean foreign) {}

    private static final byte[] FILE_HEADER = {'S', 'R', 'L', 'P', 'A', 'S', 'T', '1'};
    private static final int FRAME_HEADER_BYTES = Integer.BYTES + Integer.BYTES + Long.BYTES;

    /** Maximum size of a frame's content, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 64 << 20;

    private SnapshotLog() {}

    /** {@return the file header, as a copy} */
    public static byte[] header() {
        return FILE_HEADER.clone();
    }

    /**
     * Encodes a frame.
     *
     * @param savedAt time of the write, in microseconds since 1970
     * @param payload content of the frame
     * @return the encoded frame
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

    /**
     * Reads the content of a file. Invalid content never causes an exception: it is reported as the
     * fault.
     */
    public static ReadResult read(byte[] file) {
        int common = Math.min(file.length, FILE_HEADER.length);
        if (!Arrays.equals(file, 0, common, FILE_HEADER, 0, common)) {
            return new ReadResult(List.of(), 0, "not a snapshot file of this program", true);
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
                String fault = "invalid frame length " + length + " at offset " + validBytes;
                return new ReadResult(frames, validBytes, fault, false);
            }
            if (length > in.remaining()) {
                break;
            }
            byte[] payload = new byte[length];
            in.get(payload);
            if (checksum(savedAt, payload) != checksum) {
                String fault = "frame checksum mismatch at offset " + validBytes;
                return new ReadResult(frames, validBytes, fault, false);
            }
            frames.add(new Frame(savedAt, payload));
            validBytes = in.position();
        }
        return new ReadResult(frames, validBytes, null, false);
    }
}

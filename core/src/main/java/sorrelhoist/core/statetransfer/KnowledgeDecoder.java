package sorrelhoist.core.statetransfer;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import sorrelhoist.core.statetransfer.KnowledgeCodec.CorruptKnowledgeException;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.RegressionSums;
import sorrelhoist.routing.Knowledge.ServerHealth;

/** Decodes one snapshot, whose format {@link KnowledgeCodec} describes. */
final class KnowledgeDecoder {
    private static final int MAX_HOLDERS = 1000;
    private static final int MAX_REGRESSIONS = 1000;

    private final List<PrefixEntry> keys = new ArrayList<>();
    private final List<ServerHealth> health = new ArrayList<>();
    private final List<RegressionSums> regressions = new ArrayList<>();

    Knowledge decode(byte[] bytes) throws CorruptKnowledgeException {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
            checkHeader(in);
            while (in.available() > 0) {
                readSection(in);
            }
        } catch (EOFException e) {
            throw new CorruptKnowledgeException("data ends in the middle of a value");
        } catch (IOException e) {
            throw new UncheckedIOException("reading from memory failed", e);
        }
        if (regressions.size() > MAX_REGRESSIONS) {
            throw new CorruptKnowledgeException(
                    regressions.size() + " regressions exceed the limit");
        }
        if (regressions.isEmpty()) {
            return new Knowledge(keys, health, List.of(), KnowledgeCodec.NO_SUMS);
        }
        List<RegressionSums> prefillTimes = regressions.subList(1, regressions.size());
        return new Knowledge(keys, health, prefillTimes, regressions.get(0));
    }

    private static void checkHeader(DataInputStream in)
            throws IOException, CorruptKnowledgeException {
        if (in.readUnsignedByte() != KnowledgeCodec.MAGIC) {
            throw new CorruptKnowledgeException("not a snapshot of this program");
        }
        int version = in.readUnsignedByte();
        int next = KnowledgeCodec.VERSION + 1;
        if (version < KnowledgeCodec.VERSION || version > next) {
            throw new CorruptKnowledgeException(
                    "snapshot format version "
                            + version
                            + " is not supported; this program reads "
                            + KnowledgeCodec.VERSION
                            + " and "
                            + next);
        }
    }

    private void readSection(DataInputStream in) throws IOException, CorruptKnowledgeException {
        int tag = in.readUnsignedByte();
        int length = in.readInt();
        if (length < Integer.BYTES || length > in.available()) {
            throw new CorruptKnowledgeException(
                    "section length is too small or exceeds the remaining bytes");
        }
        DataInputStream section =
                new DataInputStream(new ByteArrayInputStream(in.readNBytes(length)));
        int count = section.readInt();
        if (count < 0 || count > length) {
            throw new CorruptKnowledgeException(
                    "invalid item count " + count + " in a section of " + length + " bytes");
        }
        // A section with a higher tag was written by a later version and is skipped.
        for (int i = 0; i < count && tag <= KnowledgeCodec.REGRESSIONS_SECTION; i++) {
            readItem(tag, section);
        }
    }

    private void readItem(int tag, DataInputStream section)
            throws IOException, CorruptKnowledgeException {
        switch (tag) {
            case KnowledgeCodec.KEYS_SECTION -> keys.add(readKey(section));
            case KnowledgeCodec.HEALTH_SECTION -> health.add(readHealth(section));
            default -> regressions.add(readSums(section));
        }
    }

    private static PrefixEntry readKey(DataInputStream in)
            throws IOException, CorruptKnowledgeException {
        String name = readText(in);
        long ageMicros = in.readLong();
        int uses = in.readInt();
        int holderCount = in.readUnsignedShort();
        if (holderCount > MAX_HOLDERS) {
            throw new CorruptKnowledgeException(holderCount + " holders of a key exceed the limit");
        }
        List<PrefixHolder> holders = new ArrayList<>();
        for (int i = 0; i < holderCount; i++) {
            holders.add(new PrefixHolder(readText(in), in.readLong(), in.readInt()));
        }
        return new PrefixEntry(name, ageMicros, uses, holders);
    }

    private static ServerHealth readHealth(DataInputStream in)
            throws IOException, CorruptKnowledgeException {
        return new ServerHealth(
                readText(in), in.readLong(), in.readFloat(), in.readFloat(), in.readInt());
    }

    private static RegressionSums readSums(DataInputStream in) throws IOException {
        return new RegressionSums(
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble());
    }

    private static String readText(DataInputStream in)
            throws IOException, CorruptKnowledgeException {
        int length = in.readUnsignedShort();
        if (length > KnowledgeCodec.MAX_NAME_BYTES) {
            throw new CorruptKnowledgeException("name of " + length + " bytes exceeds the limit");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }
}

package sorrelhoist.core.statetransfer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.Knowledge;

/**
 * Knowledge as bytes: a version, then sections with their lengths, so that a reader passes over
 * what it does not know and neighbouring versions understand each other. What is worth its bytes is
 * chosen here: keys by how recently and how often they were used, as long as the budget lasts;
 * health and lines always, as they are few.
 */
public final class KnowledgeCodec {
    /** Bytes that are no knowledge. */
    public static final class CorruptKnowledgeException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptKnowledgeException(String message) {
            super(message, null, false, false);
        }
    }

    private static final int MAGIC = 'K';
    private static final int VERSION = 1;
    private static final int KEYS = 1;
    private static final int HEALTH = 2;
    private static final int LINES = 3;
    private static final int MAX_NAME = 1024;
    private static final int MAX_HOLDERS = 1000;
    private static final int MAX_LINES = 1000;
    private static final double RECENT = 20_000_000; // a use so long ago is worth half a recent one

    private KnowledgeCodec() {}

    /**
     * Writes knowledge.
     *
     * @param k what
     * @param maxBytes that keys may take; the most valuable go in, the least recently used of them
     *     first
     * @return its bytes
     */
    public static byte[] encode(Knowledge k, int maxBytes) {
        try {
            List<Knowledge.PrefixEntry> ranked = new ArrayList<>(k.keys());
            ranked.sort(Comparator.comparingDouble(key -> -worth(key)));
            List<byte[]> chosen = new ArrayList<>();
            List<Knowledge.PrefixEntry> in = new ArrayList<>();
            int size = 0;
            for (Knowledge.PrefixEntry key : ranked) {
                byte[] bytes = key(key);
                if (key.name().length() <= MAX_NAME / 4 && size + bytes.length <= maxBytes) {
                    size += bytes.length;
                    in.add(key);
                }
            }
            in.sort(Comparator.comparingLong(key -> -key.ageMicros()));
            for (Knowledge.PrefixEntry key : in) {
                chosen.add(key(key));
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(MAGIC);
            out.writeByte(VERSION);
            section(out, KEYS, chosen);
            List<byte[]> health = new ArrayList<>();
            for (Knowledge.ServerHealth h : k.servers()) {
                health.add(health(h));
            }
            section(out, HEALTH, health);
            List<byte[]> lines = new ArrayList<>();
            lines.add(sums(k.firstTokenTimes()));
            for (Knowledge.RegressionSums s : k.prefillTimes()) {
                lines.add(sums(s));
            }
            section(out, LINES, lines);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail
        }
    }

    private static double worth(Knowledge.PrefixEntry key) {
        return (1 + key.uses()) / (1 + key.ageMicros() / RECENT);
    }

    private static void section(DataOutputStream out, int tag, List<byte[]> items)
            throws IOException {
        out.writeByte(tag);
        out.writeInt(items.stream().mapToInt(i -> i.length).sum() + 4);
        out.writeInt(items.size());
        for (byte[] item : items) {
            out.write(item);
        }
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static byte[] key(Knowledge.PrefixEntry k) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        text(out, k.name());
        out.writeLong(k.ageMicros());
        out.writeInt(k.uses());
        out.writeShort(k.holders().size());
        for (Knowledge.PrefixHolder h : k.holders()) {
            text(out, h.server());
            out.writeLong(h.since());
            out.writeInt((int) Math.min(Integer.MAX_VALUE, h.tokens()));
        }
        return bytes.toByteArray();
    }

    private static byte[] health(Knowledge.ServerHealth h) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        text(out, h.id());
        out.writeLong(h.since());
        out.writeFloat((float) h.failureRate());
        out.writeFloat((float) h.latencyRatio());
        out.writeInt(h.latencySamples());
        return bytes.toByteArray();
    }

    private static byte[] sums(Knowledge.RegressionSums s) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        for (double v :
                new double[] {
                    s.weight(), s.tokens(), s.micros(), s.squaredTokens(), s.tokensTimesMicros()
                }) {
            out.writeDouble(v);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads knowledge.
     *
     * @param bytes as written by this version or a neighbour
     * @return what they hold
     * @throws CorruptKnowledgeException where they are foreign, cut short, or larger than anything
     *     this program writes
     */
    public static Knowledge decode(byte[] bytes) throws CorruptKnowledgeException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            if (in.readUnsignedByte() != MAGIC) {
                throw new CorruptKnowledgeException("no knowledge of this program");
            }
            int version = in.readUnsignedByte();
            if (version < VERSION || version > VERSION + 1) {
                throw new CorruptKnowledgeException(
                        "version "
                                + version
                                + " of the form; this program reads "
                                + VERSION
                                + " and "
                                + (VERSION + 1));
            }
            List<Knowledge.PrefixEntry> keys = new ArrayList<>();
            List<Knowledge.ServerHealth> health = new ArrayList<>();
            List<Knowledge.RegressionSums> lines = new ArrayList<>();
            while (in.available() > 0) {
                int tag = in.readUnsignedByte();
                int length = in.readInt();
                if (length < 4 || length > in.available()) {
                    throw new CorruptKnowledgeException("a section is longer than its message");
                }
                DataInputStream part =
                        new DataInputStream(new ByteArrayInputStream(in.readNBytes(length)));
                int count = part.readInt();
                if (count < 0 || count > length) {
                    throw new CorruptKnowledgeException(
                            "a section with " + count + " items in " + length + " bytes");
                }
                for (int i = 0; i < count && tag <= LINES; i++) {
                    switch (tag) {
                        case KEYS -> keys.add(readKey(part));
                        case HEALTH ->
                                health.add(
                                        new Knowledge.ServerHealth(
                                                readText(part),
                                                part.readLong(),
                                                part.readFloat(),
                                                part.readFloat(),
                                                part.readInt()));
                        default ->
                                lines.add(
                                        new Knowledge.RegressionSums(
                                                part.readDouble(),
                                                part.readDouble(),
                                                part.readDouble(),
                                                part.readDouble(),
                                                part.readDouble()));
                    }
                }
            }
            if (lines.size() > MAX_LINES) {
                throw new CorruptKnowledgeException(lines.size() + " lines");
            }
            Knowledge.RegressionSums none = new Knowledge.RegressionSums(0, 0, 0, 0, 0);
            return new Knowledge(
                    keys,
                    health,
                    lines.isEmpty() ? List.of() : lines.subList(1, lines.size()),
                    lines.isEmpty() ? none : lines.get(0));
        } catch (EOFException e) {
            throw new CorruptKnowledgeException("cut short");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String readText(DataInputStream in)
            throws IOException, CorruptKnowledgeException {
        int length = in.readUnsignedShort();
        if (length > MAX_NAME) {
            throw new CorruptKnowledgeException("a name of " + length + " bytes");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Knowledge.PrefixEntry readKey(DataInputStream in)
            throws IOException, CorruptKnowledgeException {
        String name = readText(in);
        long age = in.readLong();
        int uses = in.readInt();
        int count = in.readUnsignedShort();
        if (count > MAX_HOLDERS) {
            throw new CorruptKnowledgeException(count + " holders of a key");
        }
        List<Knowledge.PrefixHolder> holders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            holders.add(new Knowledge.PrefixHolder(readText(in), in.readLong(), in.readInt()));
        }
        return new Knowledge.PrefixEntry(name, age, uses, holders);
    }
}

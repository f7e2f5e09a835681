package sorrelhoist.core.know;

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
import sorrelhoist.Knowledge;

/**
 * Knowledge as bytes: a version, then sections with their lengths, so that a reader passes over
 * what it does not know and neighbouring versions understand each other. What is worth its bytes is
 * chosen here: keys by how recently and how often they were used, as long as the budget lasts;
 * health and lines always, as they are few.
 */
public final class KnowledgeForm {
    /** Bytes that are no knowledge. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String message) {
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

    private KnowledgeForm() {}

    /**
     * Writes knowledge.
     *
     * @param k what
     * @param maxBytes that keys may take; the most valuable go in, the least recently used of them
     *     first
     * @return its bytes
     */
    public static byte[] write(Knowledge k, int maxBytes) {
        try {
            List<Knowledge.Key> ranked = new ArrayList<>(k.keys());
            ranked.sort(Comparator.comparingDouble(key -> -worth(key)));
            List<byte[]> chosen = new ArrayList<>();
            List<Knowledge.Key> in = new ArrayList<>();
            int size = 0;
            for (Knowledge.Key key : ranked) {
                byte[] bytes = key(key);
                if (key.name().length() <= MAX_NAME / 4 && size + bytes.length <= maxBytes) {
                    size += bytes.length;
                    in.add(key);
                }
            }
            in.sort(Comparator.comparingLong(key -> -key.age()));
            for (Knowledge.Key key : in) {
                chosen.add(key(key));
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(MAGIC);
            out.writeByte(VERSION);
            section(out, KEYS, chosen);
            List<byte[]> health = new ArrayList<>();
            for (Knowledge.Health h : k.servers()) {
                health.add(health(h));
            }
            section(out, HEALTH, health);
            List<byte[]> lines = new ArrayList<>();
            lines.add(sums(k.firstTokens()));
            for (Knowledge.Sums s : k.reads()) {
                lines.add(sums(s));
            }
            section(out, LINES, lines);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail
        }
    }

    private static double worth(Knowledge.Key key) {
        return (1 + key.uses()) / (1 + key.age() / RECENT);
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

    private static byte[] key(Knowledge.Key k) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        text(out, k.name());
        out.writeLong(k.age());
        out.writeInt(k.uses());
        out.writeShort(k.holders().size());
        for (Knowledge.Holding h : k.holders()) {
            text(out, h.server());
            out.writeLong(h.since());
            out.writeInt((int) Math.min(Integer.MAX_VALUE, h.tokens()));
        }
        return bytes.toByteArray();
    }

    private static byte[] health(Knowledge.Health h) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        text(out, h.id());
        out.writeLong(h.since());
        out.writeFloat((float) h.bad());
        out.writeFloat((float) h.slow());
        out.writeInt(h.heard());
        return bytes.toByteArray();
    }

    private static byte[] sums(Knowledge.Sums s) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        for (double v : new double[] {s.n(), s.x(), s.y(), s.xx(), s.xy()}) {
            out.writeDouble(v);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads knowledge.
     *
     * @param bytes as written by this version or a neighbour
     * @return what they hold
     * @throws Unreadable where they are foreign, cut short, or larger than anything this program
     *     writes
     */
    public static Knowledge read(byte[] bytes) throws Unreadable {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            if (in.readUnsignedByte() != MAGIC) {
                throw new Unreadable("no knowledge of this program");
            }
            int version = in.readUnsignedByte();
            if (version < VERSION || version > VERSION + 1) {
                throw new Unreadable(
                        "version "
                                + version
                                + " of the form; this program reads "
                                + VERSION
                                + " and "
                                + (VERSION + 1));
            }
            List<Knowledge.Key> keys = new ArrayList<>();
            List<Knowledge.Health> health = new ArrayList<>();
            List<Knowledge.Sums> lines = new ArrayList<>();
            while (in.available() > 0) {
                int tag = in.readUnsignedByte();
                int length = in.readInt();
                if (length < 4 || length > in.available()) {
                    throw new Unreadable("a section is longer than its message");
                }
                DataInputStream part =
                        new DataInputStream(new ByteArrayInputStream(in.readNBytes(length)));
                int count = part.readInt();
                if (count < 0 || count > length) {
                    throw new Unreadable(
                            "a section with " + count + " items in " + length + " bytes");
                }
                for (int i = 0; i < count && tag <= LINES; i++) {
                    switch (tag) {
                        case KEYS -> keys.add(readKey(part));
                        case HEALTH ->
                                health.add(
                                        new Knowledge.Health(
                                                readText(part),
                                                part.readLong(),
                                                part.readFloat(),
                                                part.readFloat(),
                                                part.readInt()));
                        default ->
                                lines.add(
                                        new Knowledge.Sums(
                                                part.readDouble(),
                                                part.readDouble(),
                                                part.readDouble(),
                                                part.readDouble(),
                                                part.readDouble()));
                    }
                }
            }
            if (lines.size() > MAX_LINES) {
                throw new Unreadable(lines.size() + " lines");
            }
            Knowledge.Sums none = new Knowledge.Sums(0, 0, 0, 0, 0);
            return new Knowledge(
                    keys,
                    health,
                    lines.isEmpty() ? List.of() : lines.subList(1, lines.size()),
                    lines.isEmpty() ? none : lines.get(0));
        } catch (EOFException e) {
            throw new Unreadable("cut short");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String readText(DataInputStream in) throws IOException, Unreadable {
        int length = in.readUnsignedShort();
        if (length > MAX_NAME) {
            throw new Unreadable("a name of " + length + " bytes");
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Knowledge.Key readKey(DataInputStream in) throws IOException, Unreadable {
        String name = readText(in);
        long age = in.readLong();
        int uses = in.readInt();
        int count = in.readUnsignedShort();
        if (count > MAX_HOLDERS) {
            throw new Unreadable(count + " holders of a key");
        }
        List<Knowledge.Holding> holders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            holders.add(new Knowledge.Holding(readText(in), in.readLong(), in.readInt()));
        }
        return new Knowledge.Key(name, age, uses, holders);
    }
}

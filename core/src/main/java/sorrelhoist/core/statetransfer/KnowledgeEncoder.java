package sorrelhoist.core.statetransfer;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.RegressionSums;
import sorrelhoist.routing.Knowledge.ServerHealth;

/** Encodes snapshots in the format that {@link KnowledgeCodec} describes. */
final class KnowledgeEncoder {
    /** Age at which a key has half the value of an equal key that is used now. */
    private static final double HALF_VALUE_AGE_MICROS = 20_000_000;

    /** Upper bound of the length of a character in UTF-8. */
    private static final int MAX_BYTES_PER_CHAR = 4;

    private static final int MAX_NAME_CHARS = KnowledgeCodec.MAX_NAME_BYTES / MAX_BYTES_PER_CHAR;

    private record EncodedKey(PrefixEntry key, byte[] bytes) {}

    /** Writes one item of a section. */
    private interface ItemEncoder {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private KnowledgeEncoder() {}

    static byte[] encode(Knowledge knowledge, int maxKeyBytes) {
        List<byte[]> keys = selectKeys(knowledge.keys(), maxKeyBytes);
        List<byte[]> health = knowledge.servers().stream().map(KnowledgeEncoder::encode).toList();
        List<byte[]> regressions = new ArrayList<>();
        regressions.add(encode(knowledge.firstTokenTimes()));
        knowledge.prefillTimes().forEach(sums -> regressions.add(encode(sums)));
        return bytes(
                out -> {
                    out.writeByte(KnowledgeCodec.MAGIC);
                    out.writeByte(KnowledgeCodec.VERSION);
                    writeSection(out, KnowledgeCodec.KEYS_SECTION, keys);
                    writeSection(out, KnowledgeCodec.HEALTH_SECTION, health);
                    writeSection(out, KnowledgeCodec.REGRESSIONS_SECTION, regressions);
                });
    }

    /** {@return the most valuable keys that fit, encoded, the least recently used first} */
    private static List<byte[]> selectKeys(List<PrefixEntry> keys, int maxBytes) {
        List<PrefixEntry> byValue = new ArrayList<>(keys);
        byValue.sort(Comparator.comparingDouble(key -> -value(key)));
        List<EncodedKey> selected = new ArrayList<>();
        int size = 0;
        for (PrefixEntry key : byValue) {
            byte[] encoded = encode(key);
            if (key.name().length() <= MAX_NAME_CHARS && size + encoded.length <= maxBytes) {
                size += encoded.length;
                selected.add(new EncodedKey(key, encoded));
            }
        }
        selected.sort(Comparator.comparingLong(encoded -> -encoded.key().ageMicros()));
        return selected.stream().map(EncodedKey::bytes).toList();
    }

    /** {@return the value of a key, which increases with uses and decreases with age} */
    private static double value(PrefixEntry key) {
        return (1 + key.uses()) / (1 + key.ageMicros() / HALF_VALUE_AGE_MICROS);
    }

    private static void writeSection(DataOutputStream out, int tag, List<byte[]> items)
            throws IOException {
        out.writeByte(tag);
        out.writeInt(Integer.BYTES + items.stream().mapToInt(item -> item.length).sum());
        out.writeInt(items.size());
        for (byte[] item : items) {
            out.write(item);
        }
    }

    private static byte[] encode(PrefixEntry key) {
        return bytes(
                out -> {
                    writeText(out, key.name());
                    out.writeLong(key.ageMicros());
                    out.writeInt(key.uses());
                    out.writeShort(key.holders().size());
                    for (PrefixHolder holder : key.holders()) {
                        writeText(out, holder.server());
                        out.writeLong(holder.since());
                        out.writeInt((int) Math.min(Integer.MAX_VALUE, holder.tokens()));
                    }
                });
    }

    private static byte[] encode(ServerHealth health) {
        return bytes(
                out -> {
                    writeText(out, health.id());
                    out.writeLong(health.since());
                    out.writeFloat((float) health.failureRate());
                    out.writeFloat((float) health.latencyRatio());
                    out.writeInt(health.latencySamples());
                });
    }

    private static byte[] encode(RegressionSums sums) {
        return bytes(
                out -> {
                    out.writeDouble(sums.weight());
                    out.writeDouble(sums.tokens());
                    out.writeDouble(sums.micros());
                    out.writeDouble(sums.squaredTokens());
                    out.writeDouble(sums.tokensTimesMicros());
                });
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static byte[] bytes(ItemEncoder item) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            item.writeTo(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }
}

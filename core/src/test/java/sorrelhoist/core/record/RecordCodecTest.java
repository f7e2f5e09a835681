package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Reason;

/** Encoded records that are exchanged between builds with more or fewer components. */
class RecordCodecTest {
    record Before(long a, String b) {}

    record After(long a, String b, double c, Reason why, List<String> d) {}

    private static final StringCodec PLAIN_STRINGS =
            new StringCodec() {
                @Override
                public void write(BinaryWriter out, String text) {
                    out.writeString(text == null ? "" : text);
                }

                @Override
                public String read(BinaryReader in) throws CorruptRecordException {
                    return in.readString();
                }
            };

    private static <R> R convert(Record from, Class<R> to) throws CorruptRecordException {
        BinaryWriter out = new BinaryWriter();
        RecordCodec.of(from.getClass()).write(out, from, PLAIN_STRINGS);
        BinaryReader in = new BinaryReader(out.toByteArray(), 0, out.size());
        return RecordCodec.of(to).read(in, PLAIN_STRINGS);
    }

    @Test
    void aMissingComponentTakesItsDefault() throws CorruptRecordException {
        assertEquals(
                new After(-3, "x", Double.NaN, Reason.UNKNOWN, List.of()),
                convert(new Before(-3, "x"), After.class));
    }

    @Test
    void anUnknownComponentIsSkipped() throws CorruptRecordException {
        After after = new After(9, "y", 0.5, Reason.of(Reason.Kind.COLD), List.of("z"));
        assertEquals(new Before(9, "y"), convert(after, Before.class));
    }
}

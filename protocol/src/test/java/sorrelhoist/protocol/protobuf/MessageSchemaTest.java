package sorrelhoist.protocol.protobuf;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class MessageSchemaTest {
    /** A message with a field of each type. */
    public record All(
            @ProtoField(1) int count,
            @ProtoField(value = 2, zigZag = true) int signed,
            @ProtoField(3) long wide,
            @ProtoField(5) boolean flag,
            @ProtoField(6) double real,
            @ProtoField(7) String text,
            @ProtoField(8) List<Part> parts) {}

    /** A nested message. */
    public record Part(@ProtoField(1) String name) {}

    /** A record whose component is not annotated. */
    public record Unmarked(int count) {}

    /** A record whose component has an unsupported type. */
    public record Unsupported(@ProtoField(1) float value) {}

    private static final MessageSchema<All> SCHEMA = MessageSchema.of(All.class);

    @Test
    void messageIsDecodedAsEncoded() throws ProtoException {
        All all = new All(3, -4, Long.MAX_VALUE, true, 0.5, "é", List.of(new Part("a")));
        assertEquals(all, SCHEMA.parse(SCHEMA.toByteArray(all)));
    }

    @Test
    void fieldsAreWrittenByNumberAndDefaultsAreOmitted() {
        All all = new All(3, 0, 0, false, 0, "", List.of(new Part("")));
        assertArrayEquals(new byte[] {1 << 3, 3, 8 << 3 | 2, 0}, SCHEMA.toByteArray(all));
    }

    @Test
    void unknownFieldsAreSkippedAndTheLastOccurrenceCounts() throws ProtoException {
        byte[] bytes = {1 << 3, 3, 4 << 3, 9, 1 << 3, 5};
        assertEquals(new All(5, 0, 0, false, 0, "", List.of()), SCHEMA.parse(bytes));
    }

    @Test
    void fieldWithWrongWireTypeIsRejected() {
        assertThrows(ProtoException.class, () -> SCHEMA.parse(new byte[] {7 << 3, 1}));
    }

    @Test
    void recordsWithInvalidComponentsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> MessageSchema.of(Unmarked.class));
        assertThrows(IllegalArgumentException.class, () -> MessageSchema.of(Unsupported.class));
    }
}

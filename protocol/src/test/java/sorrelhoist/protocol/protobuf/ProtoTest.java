package sorrelhoist.protocol.protobuf;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.Token;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.RosterEntry;

/**
 * Tests that messages are decoded as they were encoded, and that invalid bytes are rejected with a
 * {@link ProtoException} only.
 */
class ProtoTest {
    private static final InferRequest REQUEST =
            new InferRequest(
                    "m",
                    "",
                    "id-1",
                    Map.of(
                            "max_tokens",
                            new Parameter(20L),
                            "zero",
                            new Parameter(0L),
                            "on",
                            new Parameter(false),
                            "s",
                            new Parameter("é")),
                    List.of(Tensor.text(InferRequest.TEXT_INPUT, "ask €")),
                    List.of());

    @Test
    void requestIsDecodedWithDefaultsOfItsOneofs() throws ProtoException {
        assertEquals(REQUEST, InferRequest.parse(REQUEST.toByteArray()));
    }

    @Test
    void rawContentsAreSplitByTheirLengths() throws ProtoException {
        Tensor t = new Tensor("text_input", "BYTES", List.of(2L), List.of());
        List<byte[]> two = t.elements(new byte[] {1, 0, 0, 0, 65, 2, 0, 0, 0, 66, 67});
        assertEquals("BC", new String(two.get(1), java.nio.charset.StandardCharsets.US_ASCII));
        assertThrows(ProtoException.class, () -> t.elements(new byte[] {1, 0, 0}));
        assertThrows(ProtoException.class, () -> t.elements(new byte[] {9, 0, 0, 0, 1}));
        assertThrows(ProtoException.class, () -> t.elements(new byte[] {-1, -1, -1, -1, 1}));
    }

    @Property(tries = 200, seed = "42")
    void engineAndPlanMessagesAreDecodedAsEncoded(
            @ForAll String text, @ForAll int a, @ForAll long b, @ForAll double d)
            throws ProtoException {
        int n = a & Integer.MAX_VALUE;
        String s =
                new String(
                        text.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        java.nio.charset.StandardCharsets.UTF_8);
        DecodeRequest r = new DecodeRequest(s, s, "e", n, s, s, s, n, n, n, s, n);
        assertEquals(r, DecodeRequest.parse(r.toByteArray()));
        DecodeEvent e = new DecodeEvent(new Token(n, s), null);
        assertEquals(e, DecodeEvent.parse(e.toByteArray()));
        PlanEvent p =
                PlanEvent.of(
                        new Roster(1, List.of(new RosterEntry(s, s, s, s, 2, d, b, b, s)), b, b));
        assertEquals(p, PlanEvent.parse(p.toByteArray()));
        EdgeMessage t = new EdgeMessage.RelayRequest(a, s);
        assertEquals(t, EdgeMessage.parse(t.toByteArray()));
    }

    @Property(tries = 500, seed = "42")
    void arbitraryBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
        try {
            InferRequest.parse(bytes);
            PlanEvent.parse(bytes);
        } catch (ProtoException refused) {
            assertEquals(false, refused.getMessage().isEmpty());
        }
    }

    @Test
    void truncatedAndMalformedMessagesAreRejected() {
        byte[] whole = REQUEST.toByteArray();
        int refused = 0;
        for (int cut = 1; cut < whole.length; cut++) {
            byte[] part = java.util.Arrays.copyOf(whole, cut);
            try {
                // A message that is cut between two fields is valid, but differs from the original.
                assertNotEquals(REQUEST, InferRequest.parse(part), "cut at " + cut);
            } catch (ProtoException expected) {
                refused++;
            }
        }
        assertTrue(
                refused > whole.length * 3 / 4,
                refused + " of " + whole.length + " truncated messages were rejected");
        assertThrows(ProtoException.class, () -> InferRequest.parse(new byte[] {10, 127, 1}));
        assertThrows(ProtoException.class, () -> InferRequest.parse(new byte[] {10, 1, -1}));
        assertThrows(ProtoException.class, () -> InferRequest.parse(new byte[] {0}));
        assertThrows(
                ProtoException.class,
                () ->
                        InferRequest.parse(
                                new byte[] {8, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, 1}));
    }
}

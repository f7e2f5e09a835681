package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class GossipCodecTest {
    @Test
    void theFormatIsCompatibleWithOlderRouters() {
        Map<String, GossipCodec.Item> items =
                Map.of("k3", new GossipCodec.Item(GossipCodec.FULL, 1002, 200));
        assertEquals("k3:f1002.200 ", GossipCodec.write(items));
        assertEquals(items, GossipCodec.read("k3:f1002.200 "));
        assertEquals(
                "lxwef",
                ""
                        + GossipCodec.DELAY
                        + GossipCodec.UNREACHABLE
                        + GossipCodec.RECOVERED
                        + GossipCodec.FAILED
                        + GossipCodec.FULL);
    }

    @Test
    void malformedItemsAreSkipped() {
        assertEquals(
                Map.of("a", new GossipCodec.Item('l', 0, 5)),
                GossipCodec.read("hi a:l0.5 b:q0.1 c:l0. toolong:l0.1 d:l0.1234567"));
    }
}

package sorrelhoist.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.CloseIdle;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.FetchList;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Log;
import sorrelhoist.routing.RoutingActions.Move;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingActions.Timer;

class ActionEncoderTest {
    @Test
    void everyActionIsTranslated() {
        ActionEncoder reply = new ActionEncoder(4);
        reply.add(
                3,
                List.of(
                        new Send(9, "w", 50, Reason.UNKNOWN),
                        new Timer(5, 77),
                        new Release(9),
                        new Refuse(9, 6, Reason.UNKNOWN),
                        new Fail(9, Reason.UNKNOWN),
                        new Cancel(9, 1, Reason.UNKNOWN),
                        new Reserve(9, "w"),
                        new Move(9),
                        new Probe("w"),
                        new CloseIdle("w"),
                        new Tell(-1, "hi \"7\""),
                        new Follow(true),
                        new FetchList(),
                        new Log("x")));
        String expected =
                """
                {"round":4,"output":[\
                {"op":"assign","router-id":3,"msg-id":9,"worker":"w","cut-at-us":50},\
                {"op":"arm","router-id":3,"wait-us":5,"label":77},\
                {"op":"unhold","router-id":3,"msg-id":9},\
                {"op":"turn-away","router-id":3,"msg-id":9,"backoff-us":6},\
                {"op":"drop-request","router-id":3,"msg-id":9},\
                {"op":"abandon","router-id":3,"msg-id":9,"hop":1},\
                {"op":"ahead","router-id":3,"msg-id":9,"worker":"w"},\
                {"op":"relocate","router-id":3,"msg-id":9},\
                {"op":"poll","router-id":3,"worker":"w"},\
                {"op":"close","router-id":3,"worker":"w"},\
                {"op":"write-peer","router-id":3,"dst":-1,"body":"hi \\"7\\""},\
                {"op":"follow","router-id":3,"want":true},\
                {"op":"snapshot","router-id":3},\
                {"op":"trace","router-id":3,"note-text":"x"}]}
                """;
        assertEquals(expected, reply.finish());
    }
}

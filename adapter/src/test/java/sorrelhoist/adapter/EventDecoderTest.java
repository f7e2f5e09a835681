package sorrelhoist.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings;

class EventDecoderTest {
    private static Event event(String json) throws InvalidMessageException {
        JsonObject message = JsonObject.parse(json);
        RoutingSettings settings =
                SettingsDecoder.decode(JsonObject.parse(SimulatorMessages.SETTINGS));
        Map<Long, JsonObject> lists = Map.of(0L, JsonObject.parse(SimulatorMessages.LIST));
        return new EventDecoder(settings, lists).decode(message.getString("op"), message);
    }

    @Test
    void arrivalsOfRequestsAreTranslated() throws InvalidMessageException {
        assertEquals(
                new Arrived(9, 0, 0, "chat/k", "p:c", 1800, 1200, 256, 2_000_000),
                event(SimulatorMessages.REQUEST));
        assertEquals(
                new Arrived(9, 0, 0, null, null, 0, 0, 0, 7),
                event("{\"op\":\"knock\",\"msg-id\":9,\"class\":0,\"budget-us\":7}"));
        assertEquals(new ClientGone(9), event("{\"op\":\"cancelled-by-client\",\"msg-id\":9}"));
    }

    @Test
    void endpointListsAreTranslated() throws InvalidMessageException {
        assertEquals(
                new Members(
                        ListUpdateKind.RESTORED,
                        List.of(
                                new Server("r", 0, 0, 1, ServerState.SERVING, 1, 0),
                                new Server("w", 0, 1, 1, ServerState.SERVING, 1, 6))),
                event(SimulatorMessages.MEMBERS));
        assertEquals(
                new Members(ListUpdateKind.UNAVAILABLE, List.of()),
                event("{\"op\":\"members\",\"form\":\"unavailable\"}"));
    }

    @Test
    void answersToReservationsAreTranslated() throws InvalidMessageException {
        assertEquals(
                new PlaceAnswered(9, "w", true),
                event(
                        """
                        {"op":"booking","msg-id":9,"worker":"w","hop":0,"kind":1,"x":0}\
                        """));
        assertEquals(
                new PlaceAnswered(9, "w", false),
                event(
                        """
                        {"op":"booking","msg-id":9,"worker":"w","hop":0,"kind":2,"x":0}\
                        """));
    }

    @Test
    void eventsOfAttemptsAreTranslated() throws InvalidMessageException {
        assertEquals(
                new StreamStarted(9, 1, "w", 30),
                event(
                        """
                        {"op":"under-way","msg-id":9,"hop":1,"worker":"w","took-us":30}\
                        """));
        assertEquals(
                new AttemptEnded(
                        9,
                        1,
                        "w",
                        Outcome.FULL,
                        30,
                        true,
                        1,
                        new ServerLoad(0.5, Double.NaN, Double.NaN, Double.NaN)),
                event(
                        """
                        {"op":"closed-attempt","msg-id":9,"hop":1,"worker":"w","reason":"busy",\
                        "took-us":30,"ended":true,"info":1,"health-info":{"x0":0.5}}\
                        """));
    }

    @Test
    void timersPeersAndProbesAreTranslated() throws InvalidMessageException {
        assertEquals(new TimerFired(77), event("{\"op\":\"bell\",\"label\":77}"));
        assertEquals(
                new PeerMessage(1, "hi"),
                event("{\"op\":\"inbox\",\"src-peer\":1,\"body\":\"hi\"}"));
        assertEquals(
                new ProbeAnswered(
                        "w",
                        Outcome.DONE,
                        30,
                        new ServerLoad(Double.NaN, 2000, Double.NaN, Double.NaN)),
                event(
                        """
                        {"op":"status-back","reason":"done","worker":"w","took-us":30,\
                        "health-info":{"x1":2}}\
                        """));
    }

    @ParameterizedTest
    @CsvSource({
        "done,DONE",
        "read,READ",
        "err,ERROR",
        "busy,FULL",
        "etimedout,TIMED_OUT",
        "econnrefused,CONNECT_FAILED",
        "econnreset,RESET",
        "ecanceled,CANCELLED",
        "skipped,SKIPPED"
    })
    void everyOutcomeIsTranslated(String word, Outcome outcome) throws InvalidMessageException {
        AttemptEnded e =
                (AttemptEnded)
                        event(
                                "{\"op\":\"closed-attempt\",\"msg-id\":9,\"hop\":0,"
                                        + "\"worker\":\"w\",\"reason\":\""
                                        + word
                                        + "\",\"took-us\":1}");
        assertEquals(outcome, e.outcome());
    }
}

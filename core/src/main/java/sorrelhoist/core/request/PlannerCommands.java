package sorrelhoist.core.request;

/** The commands that concern the view of the fleet: health checks, peers, the endpoint list. */
public interface PlannerCommands {
    /** Checks an engine's health. */
    void probeEngine(Command.ProbeEngine command);

    /** Sends a message to other routers. */
    void sendPeerMessage(Command.SendPeerMessage command);

    /** Asks for the complete endpoint list. */
    void fetchEndpointList(Command.FetchEndpointList command);
}

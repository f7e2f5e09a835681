package sorrelhoist.core.request;

/**
 * Commands that concern the view of the fleet: health checks, messages to peers and the endpoint
 * list.
 */
public interface PlannerCommands {
    /** Checks the health of an engine. */
    void probeEngine(Command.ProbeEngine command);

    /** Sends a message to other routers. */
    void sendPeerMessage(Command.SendPeerMessage command);

    /** Requests the complete endpoint list. */
    void fetchEndpointList(Command.FetchEndpointList command);
}

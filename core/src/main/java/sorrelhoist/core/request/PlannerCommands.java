package sorrelhoist.core.request;

/** The commands that concern the view of the fleet: probes, other routers, the list of engines. */
public interface PlannerCommands {
    /** Probes an engine. */
    void probeEngine(Command.ProbeEngine command);

    /** Sends a message to other routers. */
    void sendPeerMessage(Command.SendPeerMessage command);

    /** Asks for the whole list of engines. */
    void fetchEndpointList(Command.FetchEndpointList command);
}

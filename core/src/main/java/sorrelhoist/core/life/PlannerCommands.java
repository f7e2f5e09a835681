package sorrelhoist.core.life;

/** The commands that concern the view of the fleet: probes, other routers, the list of engines. */
public interface PlannerCommands {
    /** Probes an engine. */
    void probe(Command.Probe command);

    /** Sends a message to other routers. */
    void tell(Command.Tell command);

    /** Asks for the whole list of engines. */
    void fetchRoster(Command.FetchRoster command);
}

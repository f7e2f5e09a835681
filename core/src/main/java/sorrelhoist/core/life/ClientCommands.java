package sorrelhoist.core.life;

/** The commands that concern clients, and the log. */
public interface ClientCommands {
    /** Gives a client a token or an event. */
    void deliver(Command.Deliver command);

    /** Gives a client its final answer. */
    void finish(Command.Finish command);

    /** Writes a line. */
    void log(Command.Log command);

    /** Says that what must always hold did not. */
    void violation(Command.Violation command);
}

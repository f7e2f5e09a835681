package sorrelhoist.core.life;

/** The commands that concern engines. */
public interface EngineCommands {
    /** Sends a request to a reader. */
    void read(Command.Read command);

    /** Sends a request to a writer. */
    void write(Command.Write command);

    /** Gives up an attempt. */
    void drop(Command.Drop command);

    /** Asks for a place. */
    void reserve(Command.Reserve command);

    /** Has something released that a request has reserved. */
    void release(Command.Release command);

    /** Gives up the wait for a release's answer. */
    void abandonRelease(Command.AbandonRelease command);

    /** Reports what no engine has released in time. */
    void releaseExpired(Command.ReleaseExpired command);

    /** Closes idle connections. */
    void closeIdle(Command.CloseIdle command);
}

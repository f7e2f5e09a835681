package sorrelhoist.lab.soak;

/** A router as clients reach it. */
interface RouterEndpoint {
    /** {@return its number} */
    int number();

    /** {@return the number of its current process, from 0} */
    int incarnation();

    /** {@return whether the front sends clients there} */
    boolean isInRotation();

    /** {@return whether it was told to end and has not yet} */
    boolean isEnding();

    /** {@return how many connections its clients may hold for requests} */
    int maxClientConnections();

    /** {@return host and port} */
    String address();
}

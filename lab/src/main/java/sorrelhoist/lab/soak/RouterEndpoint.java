package sorrelhoist.lab.soak;

/** A router as clients reach it. */
interface RouterEndpoint {
    /** {@return its number} */
    int number();

    /** {@return the number of its current process, from 0} */
    int incarnation();

    /** {@return whether the front sends clients there} */
    boolean isInRotation();

    /** {@return host and port} */
    String address();
}

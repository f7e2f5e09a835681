package sorrelhoist.edge;

/** Whether an engine serves, as an edge was last told. */
public enum EngineServingState {
    /** The engine is not listed. */
    UNKNOWN,

    /** The engine is listed, and takes no new requests. */
    NOT_SERVING,

    /** The engine takes requests. */
    SERVING
}

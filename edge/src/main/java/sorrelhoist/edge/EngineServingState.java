package sorrelhoist.edge;

/** Whether an engine accepts requests, according to the latest endpoint list of an edge. */
public enum EngineServingState {
    /** The endpoint list has never contained the engine. */
    UNKNOWN,

    /**
     * The engine accepts no new requests: it drains, is gone, or is missing from the latest
     * complete list.
     */
    NOT_SERVING,

    /** The engine accepts requests. */
    SERVING
}

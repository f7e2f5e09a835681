package sorrelhoist.edge;

import sorrelhoist.core.request.RequestResult;

/** A client's side of a request. Told on the router's thread; hops to its own where it has to. */
interface Client {
    /**
     * A token for it.
     *
     * @param index from 0
     * @param text the token
     * @param credit to be run when the client has room again
     */
    void token(int index, String text, Runnable credit);

    /** Its one final answer. */
    void finish(RequestResult answer);
}

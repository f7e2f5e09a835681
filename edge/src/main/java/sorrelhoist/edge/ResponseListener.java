package sorrelhoist.edge;

import sorrelhoist.core.request.RequestResult;

/** Receives the response to a client's request, on the router's thread. */
interface ResponseListener {
    /**
     * A token of the answer.
     *
     * @param index from 0
     * @param text the token
     * @param onConsumed to be run when the client has taken it; may be run on any thread
     */
    void onToken(int index, String text, Runnable onConsumed);

    /** The one final result; nothing follows it. */
    void onResult(RequestResult result);
}

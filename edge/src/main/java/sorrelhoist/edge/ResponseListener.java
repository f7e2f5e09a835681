package sorrelhoist.edge;

import sorrelhoist.core.request.RequestResult;

/** Receives the response to a client's request. Called on the router's thread. */
interface ResponseListener {
    /**
     * Receives a token of the response.
     *
     * @param index the token's index, from 0
     * @param text the token's text
     * @param onConsumed to be run once the client has consumed the token; may be run on any thread
     */
    void onToken(int index, String text, Runnable onConsumed);

    /** Receives the final result. Called once, and last. */
    void onResult(RequestResult result);
}

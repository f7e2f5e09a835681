package sorrelhoist.edge;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The open requests: the router's number of each and the listener to its response. Its state
 * belongs to the router's thread.
 */
final class OpenRequests {
    private final Map<Long, ResponseListener> listeners = new HashMap<>();
    private final Map<ResponseListener, Long> numbers = new HashMap<>();

    /** The listener of a request that the router is taking, before the request has a number. */
    private ResponseListener arriving;

    /**
     * Adds a request, unless the router ends it while taking it.
     *
     * @param listener the listener to its response
     * @param submission hands the request to the router; returns the router's number of it
     */
    void add(ResponseListener listener, LongSupplier submission) {
        arriving = listener;
        long number = submission.getAsLong();
        if (arriving != null) {
            listeners.put(number, listener);
            numbers.put(listener, number);
            arriving = null;
        }
    }

    /** {@return the listener of an open request; null if it is not open} */
    ResponseListener listener(long number) {
        return listeners.get(number);
    }

    /** {@return the number of the open request of a listener; null if it is not open} */
    Long number(ResponseListener listener) {
        return numbers.get(listener);
    }

    /** Removes the request of a listener. {@return its number; null if it is not open} */
    Long remove(ResponseListener listener) {
        Long number = numbers.remove(listener);
        if (number != null) {
            listeners.remove(number);
        }
        return number;
    }

    /** Removes a request that ends. {@return its listener, also if it is just arriving} */
    ResponseListener removeEnded(long number) {
        ResponseListener listener = listeners.remove(number);
        if (listener == null) {
            listener = arriving;
            arriving = null;
        }
        numbers.remove(listener);
        return listener;
    }
}

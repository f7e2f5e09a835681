package sorrelhoist.edge;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Maps each open request's number in the router to the listener for its response, and back. Its
 * state belongs to the router's thread.
 */
final class OpenRequests {
    private final Map<Long, ResponseListener> listeners = new HashMap<>();
    private final Map<ResponseListener, Long> numbers = new HashMap<>();

    /**
     * The listener of the request that is being submitted and has no number yet; null otherwise.
     */
    private ResponseListener submittedListener;

    /**
     * Submits a request and adds it, unless the router ends it during the submission.
     *
     * @param listener the listener for the response
     * @param submission submits the request to the router and returns its number
     */
    void add(ResponseListener listener, LongSupplier submission) {
        submittedListener = listener;
        long number = submission.getAsLong();
        if (submittedListener != null) {
            listeners.put(number, listener);
            numbers.put(listener, number);
            submittedListener = null;
        }
    }

    /** Returns the listener of a request; null if the request is not open. */
    ResponseListener listener(long number) {
        return listeners.get(number);
    }

    /** Returns the number of a listener's request; null if the request is not open. */
    Long number(ResponseListener listener) {
        return numbers.get(listener);
    }

    /** Removes a listener's request and returns its number; null if the request is not open. */
    Long remove(ResponseListener listener) {
        Long number = numbers.remove(listener);
        if (number != null) {
            listeners.remove(number);
        }
        return number;
    }

    /**
     * Removes a request that ends and returns its listener, also if the request ends during its
     * submission.
     */
    ResponseListener removeEnded(long number) {
        ResponseListener listener = listeners.remove(number);
        if (listener == null) {
            listener = submittedListener;
            submittedListener = null;
        }
        numbers.remove(listener);
        return listener;
    }
}

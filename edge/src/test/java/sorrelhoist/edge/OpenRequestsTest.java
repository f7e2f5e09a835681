package sorrelhoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;
import sorrelhoist.core.request.RequestResult;

class OpenRequestsTest {
    private static final class Listener implements ResponseListener {
        @Override
        public void onToken(int index, String text, Runnable onConsumed) {}

        @Override
        public void onResult(RequestResult result) {}
    }

    private final OpenRequests requests = new OpenRequests();
    private final ResponseListener listener = new Listener();

    @Test
    void aRequestIsOpenUntilItEnds() {
        requests.add(listener, () -> 7);
        assertSame(listener, requests.listener(7));
        assertEquals(7L, requests.number(listener));
        assertSame(listener, requests.removeEnded(7));
        assertNull(requests.listener(7));
        assertNull(requests.number(listener));
    }

    @Test
    void requestThatEndsDuringSubmissionIsNeverOpen() {
        ResponseListener[] ended = new ResponseListener[1];
        requests.add(
                listener,
                () -> {
                    ended[0] = requests.removeEnded(7);
                    return 7;
                });
        assertSame(listener, ended[0]);
        assertNull(requests.listener(7));
        assertNull(requests.number(listener));
    }

    @Test
    void theRequestOfAClientThatDisconnectsIsRemovedOnce() {
        requests.add(listener, () -> 7);
        assertEquals(7L, requests.remove(listener));
        assertNull(requests.remove(listener));
        assertNull(requests.listener(7));
    }
}

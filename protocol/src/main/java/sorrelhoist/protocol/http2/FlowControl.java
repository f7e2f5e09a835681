package sorrelhoist.protocol.http2;

/**
 * One connection's own flow-control windows, beside those of its streams (RFC 9113 section 5.2 and
 * 6.9).
 */
final class FlowControl {
    private final int credit;
    private long sendWindow = Frames.DEFAULT_WINDOW;
    private long receiveWindow;
    private int receivedSinceCredit;

    /**
     * Makes the windows.
     *
     * @param window bytes that the peer may send before it is given credit
     */
    FlowControl(int window) {
        this.credit = window / 2;
        this.receiveWindow = Math.max(Frames.DEFAULT_WINDOW, window);
    }

    /** {@return what the peer has to be granted at the start beyond what it may send anyway} */
    int firstGrant() {
        return (int) (receiveWindow - Frames.DEFAULT_WINDOW);
    }

    /** Data came, padding included. {@return bytes to grant the peer now, or 0} */
    int received(int flow) throws Http2Exception {
        receiveWindow -= flow;
        if (receiveWindow < 0) {
            throw Http2Exception.connection(
                    ErrorCode.FLOW_CONTROL_ERROR, "more data than the connection's window");
        }
        receivedSinceCredit += flow;
        if (receivedSinceCredit < credit) {
            return 0;
        }
        int grant = receivedSinceCredit;
        receiveWindow += grant;
        receivedSinceCredit = 0;
        return grant;
    }

    /** Data was sent. */
    void sent(int bytes) {
        sendWindow -= bytes;
    }

    /** The peer gave credit. */
    void granted(int bytes) throws Http2Exception {
        sendWindow += bytes;
        if (sendWindow > Integer.MAX_VALUE) {
            throw Http2Exception.connection(
                    ErrorCode.FLOW_CONTROL_ERROR, "the connection's window over 2^31 - 1");
        }
    }

    /** {@return bytes that may be sent now; below 0 never} */
    long sendWindow() {
        return sendWindow;
    }
}

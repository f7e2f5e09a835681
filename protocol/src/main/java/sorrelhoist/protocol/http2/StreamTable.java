package sorrelhoist.protocol.http2;

import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open streams of a connection. For streams that are not open, it keeps the last stream ID of
 * each side, up to which no stream is idle, and the last streams that this side reset, for which
 * frames may still be in transit (RFC 9113 section 5.1).
 */
final class StreamTable {
    private static final int MAX_REMEMBERED_RESETS = 1024;
    private final boolean server;
    private final IntObjectHashMap<Http2Stream> open = new IntObjectHashMap<>();
    private final Set<Integer> locallyReset = new LinkedHashSet<>();
    private int lastPeerStreamId;
    private int nextLocalStreamId = 1;

    StreamTable(boolean server) {
        this.server = server;
    }

    int size() {
        return open.size();
    }

    Http2Stream get(int id) {
        return open.get(id);
    }

    void put(Http2Stream stream) {
        open.put(stream.id(), stream);
    }

    /** Removes a stream. {@return whether it was open} */
    boolean remove(Http2Stream stream) {
        return open.remove(stream.id()) != null;
    }

    /** {@return a copy of the list of open streams} */
    List<Http2Stream> snapshot() {
        return new ArrayList<>(open.values());
    }

    /** {@return whether this side has an unused stream ID left} */
    boolean hasNextLocalId() {
        return nextLocalStreamId > 0 && nextLocalStreamId < Frames.MAX_STREAM_ID - 1;
    }

    /** {@return the ID for a new stream of this side; each call returns another one} */
    int nextLocalId() {
        int id = nextLocalStreamId;
        nextLocalStreamId += 2;
        return id;
    }

    /** {@return whether HEADERS with this stream ID open a new stream; false on the client side} */
    boolean opensPeerStream(int id) {
        return server && id > lastPeerStreamId && (id & 1) == 1;
    }

    /** Records that the peer opened a stream with this ID. */
    void peerOpened(int id) {
        lastPeerStreamId = id;
    }

    int lastPeerStreamId() {
        return lastPeerStreamId;
    }

    /** {@return whether no stream with this ID has been opened yet} */
    boolean isIdle(int id) {
        boolean openedByPeer = server == ((id & 1) == 1);
        return openedByPeer ? id > lastPeerStreamId : id >= nextLocalStreamId;
    }

    /** Records that this side reset a stream; the oldest record is dropped beyond the maximum. */
    void rememberReset(int id) {
        locallyReset.add(id);
        if (locallyReset.size() > MAX_REMEMBERED_RESETS) {
            locallyReset.remove(locallyReset.iterator().next());
        }
    }

    boolean wasResetLocally(int id) {
        return locallyReset.contains(id);
    }
}

package sorrelhoist.protocol.http2;

import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A connection's open streams, and what is remembered of the others: the last of each side, below
 * which none is idle, and the last ones that were reset here, whose frames may still be on their
 * way (RFC 9113 section 5.1).
 */
final class StreamTable {
    private static final int MAX_REMEMBERED_RESETS = 1024;
    private final boolean server;
    private final IntObjectHashMap<Http2Stream> open = new IntObjectHashMap<>();
    private final Set<Integer> resetHere = new LinkedHashSet<>();
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

    /** {@return whether it was open} */
    boolean remove(Http2Stream stream) {
        return open.remove(stream.id()) != null;
    }

    /** {@return the open streams, as they are now} */
    List<Http2Stream> snapshot() {
        return new ArrayList<>(open.values());
    }

    /** {@return whether this side has a number left for one more stream} */
    boolean hasNextLocalId() {
        return nextLocalStreamId > 0 && nextLocalStreamId < Frames.MAX_STREAM_ID - 1;
    }

    /** {@return the number of the next stream that this side opens} */
    int nextLocalId() {
        int id = nextLocalStreamId;
        nextLocalStreamId += 2;
        return id;
    }

    /** {@return whether a client's HEADERS with this number open a stream} */
    boolean isOpenedBy(int id) {
        return server && id > lastPeerStreamId && (id & 1) == 1;
    }

    /** The peer used this number to open a stream. */
    void peerOpened(int id) {
        lastPeerStreamId = id;
    }

    int lastPeerStreamId() {
        return lastPeerStreamId;
    }

    /** {@return whether no stream with this number was ever opened} */
    boolean isIdle(int id) {
        boolean openedByPeer = server == ((id & 1) == 1);
        return openedByPeer ? id > lastPeerStreamId : id >= nextLocalStreamId;
    }

    /** Remembers that a stream was reset here. */
    void rememberReset(int id) {
        resetHere.add(id);
        if (resetHere.size() > MAX_REMEMBERED_RESETS) {
            resetHere.remove(resetHere.iterator().next());
        }
    }

    boolean wasResetHere(int id) {
        return resetHere.contains(id);
    }
}

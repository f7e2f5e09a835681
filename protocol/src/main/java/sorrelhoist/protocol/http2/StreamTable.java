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
    private static final int RESETS_KEPT = 1024;
    private static final int MAX_STREAM_ID = Integer.MAX_VALUE;
    private final boolean server;
    private final IntObjectHashMap<Http2Stream> open = new IntObjectHashMap<>();
    private final Set<Integer> resetHere = new LinkedHashSet<>();
    private int lastPeerStream;
    private int nextStream = 1;

    StreamTable(boolean server) {
        this.server = server;
    }

    int size() {
        return open.size();
    }

    Http2Stream get(int id) {
        return open.get(id);
    }

    void put(Http2Stream s) {
        open.put(s.id, s);
    }

    /** {@return whether it was open} */
    boolean remove(Http2Stream s) {
        return open.remove(s.id) != null;
    }

    /** {@return the open ones, as they are now} */
    List<Http2Stream> all() {
        return new ArrayList<>(open.values());
    }

    /** {@return whether this side has a number left for one more} */
    boolean hasNext() {
        return nextStream > 0 && nextStream < MAX_STREAM_ID - 1;
    }

    /** {@return the number of the next stream that this side opens} */
    int next() {
        int id = nextStream;
        nextStream += 2;
        return id;
    }

    /** {@return whether a client's HEADERS with this number open a stream} */
    boolean opens(int id) {
        return server && id > lastPeerStream && (id & 1) == 1;
    }

    /** The peer used this number to open a stream. */
    void peerOpened(int id) {
        lastPeerStream = id;
    }

    int lastPeerStream() {
        return lastPeerStream;
    }

    /** {@return whether no stream with this number was ever opened} */
    boolean isIdle(int id) {
        boolean fromPeer = server == ((id & 1) == 1);
        return fromPeer ? id > lastPeerStream : id >= nextStream;
    }

    /** Remembers that a stream was reset here. */
    void rememberReset(int id) {
        resetHere.add(id);
        if (resetHere.size() > RESETS_KEPT) {
            resetHere.remove(resetHere.iterator().next());
        }
    }

    boolean wasResetHere(int id) {
        return resetHere.contains(id);
    }
}

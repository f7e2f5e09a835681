package sorrelhoist.lab.soak;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps new connections to a listener from coming up, as at a machine that is cut off: neither
 * accepted nor refused. It stops accepting and fills the listener's accept queue with connections
 * of its own, so that the system drops every further SYN. What is still connecting when the block
 * ends comes up with the next SYN that its system repeats, on Linux one second after the first.
 * Confined to the listener's event loop.
 */
final class ConnectionBlocker {
    /** The backlog that its listeners need. */
    static final int BACKLOG = 32;

    /** Linux queues one connection more than the backlog. */
    private static final int QUEUE_LENGTH = BACKLOG + 1;

    private final List<SocketChannel> fillers = new ArrayList<>();

    /** Addresses of its own connections that the listener has still to accept. */
    private final Set<SocketAddress> queuedFillers = new HashSet<>();

    private Channel listener;

    /** How many blocks last now; they may overlap. */
    private int blocks;

    /** A listener takes the place of the former one; a block that lasts holds for it, too. */
    void listenerOpened(Channel opened) {
        listener = opened;
        if (blocks > 0) {
            fillQueue();
        }
    }

    /** The listener is gone, and its queue with it. */
    void listenerClosed() {
        listener = null;
        closeFillers();
        queuedFillers.clear();
    }

    /** No new connection comes up from now on. */
    void block() {
        blocks++;
        if (blocks == 1 && listener != null) {
            fillQueue();
        }
    }

    /** New connections come up again, unless another block lasts. */
    void unblock() {
        blocks--;
        if (blocks == 0 && listener != null) {
            closeFillers();
            listener.config().setAutoRead(true);
        }
    }

    /**
     * Tells connections of routers from its own. One that was in the queue ahead of these came up
     * and was never accepted: it is not to be used, as it would hand over what was written to it
     * long ago.
     *
     * @param accepted a connection that the listener has just accepted
     * @return whether it came up outside of a block
     */
    boolean admits(Channel accepted) {
        boolean filler = queuedFillers.remove(accepted.remoteAddress());
        return !filler && queuedFillers.isEmpty();
    }

    private void fillQueue() {
        listener.config().setAutoRead(false);
        try {
            for (int i = 0; i < QUEUE_LENGTH; i++) {
                SocketChannel filler = SocketChannel.open();
                fillers.add(filler);
                filler.configureBlocking(false);
                // Leaves no port in TIME_WAIT behind.
                filler.setOption(StandardSocketOptions.SO_LINGER, 0);
                filler.connect(listener.localAddress());
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot fill the accept queue", e);
        }
    }

    private void closeFillers() {
        for (SocketChannel filler : fillers) {
            try (filler) {
                if (filler.finishConnect()) {
                    queuedFillers.add(filler.getLocalAddress());
                }
            } catch (IOException e) {
                // Its listener was closed: it is in no queue.
            }
        }
        fillers.clear();
    }
}

package sorrelhoist.protocol.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * An attempt to connect. Its failure is reported once, on the event loop and never within the call
 * that made the attempt, also where the system had no socket for it. (Netty's own future reports
 * that on another thread, and its channel throws when it is closed.)
 */
public final class ConnectionAttempt {
    private final EventLoop loop;

    /** Netty's attempt; null where there was no socket. */
    private final ChannelFuture connectFuture;

    private final Throwable socketFailure;

    private ConnectionAttempt(
            EventLoop loop, ChannelFuture connectFuture, Throwable socketFailure) {
        this.loop = loop;
        this.connectFuture = connectFuture;
        this.socketFailure = socketFailure;
    }

    static ConnectionAttempt started(EventLoop loop, ChannelFuture connectFuture) {
        return new ConnectionAttempt(loop, connectFuture, null);
    }

    static ConnectionAttempt withoutSocket(EventLoop loop, Throwable cause) {
        return new ConnectionAttempt(loop, null, cause);
    }

    /**
     * Adds a listener for the failure of the attempt.
     *
     * @param listener is given the cause, on the event loop, in a later task
     * @return this
     */
    public ConnectionAttempt onFailure(Consumer<Throwable> listener) {
        if (connectFuture == null) {
            loop.execute(() -> listener.accept(socketFailure));
        } else {
            connectFuture.addListener(
                    future -> {
                        if (!future.isSuccess()) {
                            loop.execute(() -> listener.accept(future.cause()));
                        }
                    });
        }
        return this;
    }

    /**
     * {@return the connection, which may not be established yet; null where there was no socket}
     */
    public Channel channel() {
        return connectFuture == null ? null : connectFuture.channel();
    }

    /** Gives the attempt up, or closes the connection if it is established. */
    public void close() {
        if (connectFuture != null) {
            connectFuture.channel().close();
        }
    }
}

package sorrelhoist.protocol.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * An attempt to connect. A failure is reported once, on the event loop and never within the call
 * that made the attempt, even if the operating system could not create a socket. (Netty's future
 * reports a missing socket on another thread, and its channel throws an exception when it is
 * closed.)
 */
public final class ConnectionAttempt {
    private final EventLoop loop;

    /** Netty's future of the connection; null if no socket could be created. */
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
     * Adds a listener for a failure of the attempt.
     *
     * @param listener receives the cause, in a later task on the event loop
     * @return this object
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

    /** {@return the channel, which may not be connected yet; null if no socket could be created} */
    public Channel channel() {
        return connectFuture == null ? null : connectFuture.channel();
    }

    /** Cancels the attempt, or closes the connection if it is established. */
    public void close() {
        if (connectFuture != null) {
            connectFuture.channel().close();
        }
    }
}

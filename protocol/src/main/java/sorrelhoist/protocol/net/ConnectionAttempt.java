package sorrelhoist.protocol.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * An attempt to connect. Its failure is told once, on the event loop and never within the call that
 * made the attempt, also where the system had no socket for it. (Netty's own future tells of that
 * on another thread, and its channel throws when it is closed.)
 */
public final class ConnectionAttempt {
    private final EventLoop loop;
    private final ChannelFuture attempt;
    private final Throwable noSocket;

    private ConnectionAttempt(EventLoop loop, ChannelFuture attempt, Throwable noSocket) {
        this.loop = loop;
        this.attempt = attempt;
        this.noSocket = noSocket;
    }

    static ConnectionAttempt on(EventLoop loop, ChannelFuture attempt) {
        return new ConnectionAttempt(loop, attempt, null);
    }

    static ConnectionAttempt withoutSocket(EventLoop loop, Throwable why) {
        return new ConnectionAttempt(loop, null, why);
    }

    /**
     * Hears of its failure.
     *
     * @param failed told why, on the event loop, in a later task
     * @return this
     */
    public ConnectionAttempt onFailure(Consumer<Throwable> failed) {
        if (attempt == null) {
            loop.execute(() -> failed.accept(noSocket));
        } else {
            attempt.addListener(
                    f -> {
                        if (!f.isSuccess()) {
                            loop.execute(() -> failed.accept(f.cause()));
                        }
                    });
        }
        return this;
    }

    /** {@return the connection, which may not stand yet; null where there was no socket} */
    public Channel channel() {
        return attempt == null ? null : attempt.channel();
    }

    /** Gives it up, or closes the connection if it stands. */
    public void close() {
        if (attempt != null) {
            attempt.channel().close();
        }
    }
}

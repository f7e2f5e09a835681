package sorrelhoist.protocol.net;

import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoopbackTransportTest {
    /** An error that no log can describe, as when there is no memory left. */
    private static final class UnprintableError extends Error {
        private static final long serialVersionUID = 1;

        @Override
        public String getMessage() {
            throw this;
        }

        @Override
        public String toString() {
            throw this;
        }
    }

    /**
     * Guards against a process that stays although its only event loop has ended, because another
     * thread that would end it cannot be started.
     */
    @Test
    void theEndOfAnEventLoopIsReportedByItsOwnThreadWhateverEndedIt() throws Exception {
        CompletableFuture<Thread> loopThread = new CompletableFuture<>();
        CompletableFuture<Thread> reportingThread = new CompletableFuture<>();
        EventLoopGroup group =
                LoopbackTransport.newEventLoop(
                        "test",
                        new ReadDelayEstimator(),
                        () -> reportingThread.complete(Thread.currentThread()));
        group.next()
                .execute(
                        () -> {
                            loopThread.complete(Thread.currentThread());
                            throw new UnprintableError();
                        });
        assertSame(loopThread.get(1, TimeUnit.MINUTES), reportingThread.get(1, TimeUnit.MINUTES));
    }
}

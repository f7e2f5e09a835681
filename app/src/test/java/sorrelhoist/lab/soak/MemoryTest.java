package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A router process with the memory of a small machine, under more content than fits into it. */
class MemoryTest {
    private static final int LARGE = 240 << 10; // just below what the protocol allows
    private static final int CLIENTS = 90; // together more than the heap of this process
    @TempDir private Path folder;

    /** As deploy/platform starts it where it is granted 64 MB. */
    @Test
    void largeRequestsThatDoNotFitAreAnsweredAndTheRouterLivesOn() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try (OneRouter one =
                new OneRouter(
                        folder,
                        null,
                        "-Xms19m",
                        "-Xmx19m",
                        "-XX:+UseSerialGC",
                        "-Xss256k",
                        "-XX:MaxDirectMemorySize=8m",
                        "-Dio.netty.allocator.numHeapArenas=1",
                        "-Dio.netty.allocator.numDirectArenas=1",
                        "-Dio.netty.allocator.pageSize=4096",
                        "-Dio.netty.allocator.maxOrder=6",
                        "-Dio.netty.allocator.useCacheForAllThreads=false")) {
            assertEquals(200, one.ask());
            one.fleet.runOnLoop(() -> one.fleet.workers.forEach(w -> w.standIn.setHanging(true)));
            List<Future<Integer>> answers = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                answers.add(
                        clients.submit(
                                () -> {
                                    try (Socket socket = one.connect()) {
                                        return one.send(socket, LARGE).answer();
                                    }
                                }));
            }
            List<Integer> statuses = new ArrayList<>();
            for (Future<Integer> answer : answers) {
                statuses.add(answer.get(OneRouter.BOUND_MILLIS, TimeUnit.MILLISECONDS));
            }
            assertTrue(
                    statuses.stream().allMatch(s -> s == 502 || s == 503 || s == 504),
                    statuses + one.router.process.log());
            one.fleet.runOnLoop(() -> one.fleet.workers.forEach(w -> w.standIn.setHanging(false)));
            assertTrue(one.router.process.isAlive(), one.router.process.log());
            int status = one.ask();
            for (int i = 0; i < 10 && status != 200; i++) {
                status = one.ask();
            }
            assertEquals(200, status, one.router.process.log());
            assertEquals("", one.router.process.log(), "no fault of its own is met on the way");
        } finally {
            clients.shutdownNow();
        }
    }
}

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

/** Tests a router process with little memory, which receives more content than fits into it. */
class MemoryTest {
    private static final int LARGE = 240 << 10; // bytes, just below the protocol's limit
    private static final int CLIENTS = 90; // their requests exceed the router's heap together
    @TempDir private Path folder;

    /** The router starts with the options that deploy/platform uses for a limit of 64 MB. */
    @Test
    void largeRequestsThatDoNotFitAreAnsweredAndTheRouterLivesOn() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try (RouterFixture fixture = startSmallRouter()) {
            assertEquals(200, fixture.requestStatus());
            setAllWorkersHanging(fixture, true);
            List<Future<Integer>> answers = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                answers.add(clients.submit(() -> sendLarge(fixture)));
            }
            List<Integer> statuses = new ArrayList<>();
            for (Future<Integer> answer : answers) {
                statuses.add(answer.get(RouterFixture.BOUND_MILLIS, TimeUnit.MILLISECONDS));
            }
            assertTrue(
                    statuses.stream().allMatch(s -> s == 502 || s == 503 || s == 504),
                    statuses + fixture.router.process.log());
            setAllWorkersHanging(fixture, false);
            assertTrue(fixture.router.process.isAlive(), fixture.router.process.log());
            int status = fixture.requestStatus();
            for (int i = 0; i < 10 && status != 200; i++) {
                status = fixture.requestStatus();
            }
            assertEquals(200, status, fixture.router.process.log());
            assertEquals(
                    List.of(),
                    fixture.router.process.log().lines().filter(l -> !isEvent(l)).toList(),
                    "the router logs only events of requests, no internal error");
        } finally {
            clients.shutdownNow();
        }
    }

    /** {@return whether a log line reports an event of requests, such as a rejection} */
    private static boolean isEvent(String line) {
        return line.contains(" event=") && !line.contains("violat");
    }

    private RouterFixture startSmallRouter() throws Exception {
        return new RouterFixture(
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
                "-Dio.netty.allocator.useCacheForAllThreads=false");
    }

    private static void setAllWorkersHanging(RouterFixture fixture, boolean hanging)
            throws Exception {
        for (WorkerNode worker : fixture.fleet.workers) {
            WorkerStandIn standIn = worker.standIn;
            fixture.fleet.runOnLoop(
                    hanging ? () -> standIn.hang(HangMode.STOPPED) : standIn::resume);
        }
    }

    private static int sendLarge(RouterFixture fixture) throws Exception {
        try (Socket socket = fixture.connect()) {
            return fixture.send(socket, LARGE).answer();
        }
    }
}

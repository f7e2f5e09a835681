package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One router process with a prefill and a decode worker, and clients on plain sockets. Every wait
 * has a time limit.
 */
final class RouterFixture implements AutoCloseable {
    static final int BOUND_MILLIS = 20_000;
    static final int BUDGET_MILLIS = 3000;
    static final int NOTHING_CAME = 0;
    static final int CLOSED = -1;
    final SoakFleet fleet;
    final RouterNode router;
    private final AtomicInteger sentRequests = new AtomicInteger();

    /**
     * Starts the router and the workers.
     *
     * @param folder the folder for the fleet's files
     * @param library the library that injects system-call faults, or null for none
     * @param options the JVM options of the router
     */
    RouterFixture(Path folder, Path library, String... options) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(options));
        command.addAll(
                List.of(
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sorrelhoist.platform.Platform"));
        fleet =
                new SoakFleet(
                        new SoakPlan(
                                1,
                                1,
                                1,
                                2,
                                List.of(),
                                command,
                                folder.resolve("fleet"),
                                library,
                                1));
        // The tests time only the router, so the workers and links add no delays.
        for (WorkerNode worker : fleet.workers) {
            fleet.runOnLoop(() -> worker.standIn.setMaxQueueMillis(0));
            fleet.runOnLoop(() -> worker.standIn.setMaxEvents(1));
        }
        router = fleet.routers.get(0);
        fleet.runOnLoop(() -> router.links.forEach(FaultProxy::stopDelaying));
        router.start();
        assertTrue(router.process.awaitReady(BOUND_MILLIS), router.process.log());
    }

    Socket connect() throws IOException {
        String address = router.address();
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                BOUND_MILLIS);
        socket.setSoTimeout(BUDGET_MILLIS + 500);
        return socket;
    }

    int requestStatus() throws Exception {
        try (Socket socket = connect()) {
            return requestStatus(socket);
        }
    }

    int requestStatus(Socket socket) throws Exception {
        return send(socket, 0).answer();
    }

    /** Sends a request whose content has the given number of characters. */
    Sent send(Socket socket, int characters) throws Exception {
        RequestTrace trace =
                new RequestTrace(
                        "t" + sentRequests.incrementAndGet(),
                        FleetRules.RequestClass.SAFE,
                        0,
                        0,
                        0,
                        true);
        fleet.runOnLoop(() -> fleet.log.add(trace));
        String body =
                "{\"model\":\"m\",\"messages\":[],\"text\":\"" + "x".repeat(characters) + "\"}";
        socket.getOutputStream()
                .write(
                        ("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: "
                                        + trace.id
                                        + "\r\nX-Call-Class: safe\r\nX-Budget-Ms: "
                                        + BUDGET_MILLIS
                                        + "\r\nX-Call-Info: prompt_len=10,max_out=50\r\n"
                                        + "Connection: close\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
        return new Sent(socket, trace);
    }

    /** A request that has been sent. */
    record Sent(Socket socket, RequestTrace trace) {
        /**
         * {@return the status of the answer, which is read to its end; NOTHING_CAME if none arrives
         * in time; CLOSED if the connection ends without one}
         */
        int answer() throws IOException {
            try {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                String first = in.readLine();
                String last = first;
                for (String line = first; line != null; line = in.readLine()) {
                    last = line.isEmpty() ? last : line;
                }
                int status = first == null ? CLOSED : Integer.parseInt(first.split(" ")[1]);
                assertTrue(status != 200 || last.equals("0"), "a stream ended with " + last);
                return status;
            } catch (SocketTimeoutException e) {
                return NOTHING_CAME;
            }
        }
    }

    @Override
    public void close() {
        fleet.close();
    }
}

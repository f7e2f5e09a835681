package sorrelhoist.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One router process as the platform starts it, with its log and, where wanted, its system-call
 * faults.
 */
public final class RouterProcess implements AutoCloseable {
    private static final int PROBE_MILLIS = 300;
    private static final long POLL_MILLIS = 20;
    private final String name;
    private final InetSocketAddress listen;
    private final Path config;
    private final Path log;
    private final List<String> command;
    private final SystemCallFaults faults;
    private Process process;

    /**
     * Describes a process that is not started yet.
     *
     * @param name for its log
     * @param listen where it takes clients
     * @param config its configuration file
     * @param log its output and errors are added to this file
     * @param command starts it in the foreground
     * @param faults of its system calls, or null
     */
    public RouterProcess(
            String name,
            InetSocketAddress listen,
            Path config,
            Path log,
            List<String> command,
            SystemCallFaults faults) {
        this.name = name;
        this.listen = listen;
        this.config = config;
        this.log = log;
        this.command = command;
        this.faults = faults;
    }

    /**
     * {@return the command of the platform's deploy file, for a checkout of the project that was
     * built}
     */
    public static List<String> deployedCommand(Path root) {
        return List.of(root.resolve("deploy/platform").toString());
    }

    /** Starts it; an earlier one has to have ended. */
    public void start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("LB_CONFIG", config.toString());
        if (faults != null) {
            faults.addTo(builder.environment());
        }
        process = builder.start();
    }

    /** Asks until it says that it is ready. {@return whether it did within the time} */
    public boolean awaitReady(long millis) throws IOException, InterruptedException {
        long bound = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < bound && process.isAlive()) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return false;
    }

    /** {@return whether it says that it is ready, now} */
    public boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, PROBE_MILLIS);
            socket.setSoTimeout(PROBE_MILLIS);
            socket.getOutputStream()
                    .write(
                            "GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal by its name. */
    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** {@return whether it runs} */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Waits for its end. {@return its exit status, or -1 where it still runs} */
    public int awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Kills it outright and waits until it is gone. */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }

    /** {@return what it has said so far} */
    public String log() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    /** {@return its name} */
    public String name() {
        return name;
    }

    /** {@return its system-call faults, or null} */
    public SystemCallFaults faults() {
        return faults;
    }

    @Override
    public void close() {
        kill();
    }
}

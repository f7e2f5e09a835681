package sorrelhoist.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One process of a fleet: started, awaited until it is ready, killed, started again. */
final class ManagedProcess {
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final String READY_PREFIX = "ready ";
    private final String name;
    private final List<String> command;
    private final Path logFile;
    private Process process;
    private volatile String address;

    /**
     * Describes a process that is not started yet.
     *
     * @param name for its log
     * @param command starts it, without its sub-command and its arguments
     * @param folder for its log
     */
    ManagedProcess(String name, List<String> command, Path folder) {
        this.name = name;
        this.command = command;
        this.logFile = folder.resolve(name + ".log");
    }

    String name() {
        return name;
    }

    /**
     * Starts it; an earlier one has to have ended.
     *
     * @param subCommand what it is to be
     * @param config its settings file
     * @return completed with its address once it is ready, see {@link #await}
     * @throws IOException if it cannot be started
     */
    CompletableFuture<String> start(String subCommand, Path config) throws IOException {
        List<String> arguments = new ArrayList<>(command);
        arguments.addAll(List.of(subCommand, "--config", config.toString()));
        process =
                new ProcessBuilder(arguments)
                        .redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                        .start();
        CompletableFuture<String> ready = new CompletableFuture<>();
        Process started = process;
        Thread reader = new Thread(() -> readOutput(started, ready), "out-" + name);
        reader.setDaemon(true);
        reader.start();
        return ready;
    }

    private void readOutput(Process started, CompletableFuture<String> ready) {
        try (BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                if (line.startsWith(READY_PREFIX)) {
                    address = line.substring(line.indexOf('=') + 1).trim();
                    ready.complete(address);
                }
            }
        } catch (IOException e) {
            // The process has ended, which is reported below.
        }
        ready.completeExceptionally(
                new IOException(name + " ended before it was ready: see " + logFile));
    }

    /** Waits until a process is ready. {@return its address} */
    static String await(CompletableFuture<String> ready, String name) throws IOException {
        try {
            return ready.get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            String limit = " was not ready within " + READY_TIMEOUT_SECONDS + " s";
            throw new IOException(name + limit, e);
        }
    }

    /** {@return where it listens; null if it was never ready} */
    String address() {
        return address;
    }

    int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    long pid() {
        return process.pid();
    }

    /** Kills it outright and waits until it is gone. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }

    /** Ends it by SIGTERM, and kills it if it still runs after so many seconds. */
    void stop(long seconds) {
        if (process == null) {
            return;
        }
        process.destroy();
        try {
            if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
                kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            kill();
        }
    }
}

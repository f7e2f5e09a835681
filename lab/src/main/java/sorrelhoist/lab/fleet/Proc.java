package sorrelhoist.lab.fleet;

import java.io.BufferedReader;
import java.io.File;
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

/**
 * One process of a fleet: started, waited for until it says that it is ready, killed, started
 * again.
 */
final class Proc {
    private static final long READY_SECONDS = 60;
    final String name;
    private final List<String> command;
    private final Path log;
    private Process process;
    private volatile String address;

    Proc(String name, List<String> command, Path log) {
        this.name = name;
        this.command = command;
        this.log = log;
    }

    /** Starts it; {@link #awaitReady} tells when it serves. */
    CompletableFuture<String> start(String kind, Path config) throws IOException {
        List<String> all = new ArrayList<>(command);
        all.add(kind);
        all.add("--config");
        all.add(config.toString());
        process =
                new ProcessBuilder(all)
                        .redirectError(
                                ProcessBuilder.Redirect.appendTo(
                                        new File(log.resolve(name + ".log").toString())))
                        .start();
        CompletableFuture<String> ready = new CompletableFuture<>();
        Process started = process;
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader out =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    started.getInputStream(),
                                                    StandardCharsets.UTF_8))) {
                                for (String line = out.readLine();
                                        line != null;
                                        line = out.readLine()) {
                                    if (line.startsWith("ready ")) {
                                        address = line.substring(line.indexOf('=') + 1).trim();
                                        ready.complete(address);
                                    }
                                }
                            } catch (IOException e) {
                                // The process ended; said below.
                            }
                            ready.completeExceptionally(
                                    new IOException(
                                            name
                                                    + " ended before it was ready: see "
                                                    + log.resolve(name + ".log")));
                        },
                        "out-" + name);
        reader.setDaemon(true);
        reader.start();
        return ready;
    }

    static String await(CompletableFuture<String> ready, String name) throws IOException {
        try {
            return ready.get(READY_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException(name + " was not ready within " + READY_SECONDS + " s", e);
        }
    }

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

    /** Asks it to end, and kills it where it does not. */
    void stop(long seconds) {
        if (process != null) {
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
}

package sorrelhoist.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Makes chosen system calls of one process fail and steps its wall clock. A small library of our
 * own ({@code system_call_faults.c}), built with the system's compiler, is loaded into the process;
 * both sides map one file. The library counts calls: a fault that a process never met proves
 * nothing.
 */
public final class SystemCallFaults {
    private static final String SOURCE = "system_call_faults.c";
    private static final long COMPILE_SECONDS = 60;
    private static final int HEADER_BYTES = 16;
    private static final int RULE_BYTES = 32;
    private static final int EVERY = 8;
    private static final int FAILURES = 24;
    private static final int SHORT = -1;
    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer control;

    /** A system call that can be made to fail. The order is the library's. */
    public enum SystemCall {
        ACCEPT,
        SOCKET,
        CONNECT,
        READ,
        WRITE,
        EPOLL_WAIT,
        FSYNC,
        OPEN
    }

    /** Error numbers of Linux. */
    public enum Errno {
        EINTR(4),
        EIO(5),
        EMFILE(24),
        ENFILE(23),
        ENOSPC(28),
        ENOMEM(12),
        ECONNABORTED(103),
        ECONNRESET(104),
        ENOBUFS(105),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private SystemCallFaults(Path library, Path controlFile) throws IOException {
        this.library = library;
        this.controlFile = controlFile;
        int size = HEADER_BYTES + RULE_BYTES * SystemCall.values().length;
        Files.write(controlFile, new byte[size]);
        try (FileChannel channel =
                FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, size);
            control.order(ByteOrder.nativeOrder());
        }
    }

    /**
     * Builds the library.
     *
     * @param folder where it is put
     * @return its path, or null where this machine has no compiler
     * @throws IOException where the compiler fails
     */
    public static Path build(Path folder) throws IOException {
        Path source = folder.resolve(SOURCE);
        Path library = folder.resolve("system_call_faults.so");
        try (InputStream text = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Process compiler;
        try {
            compiler =
                    new ProcessBuilder(
                                    "cc",
                                    "-shared",
                                    "-fPIC",
                                    "-O2",
                                    "-o",
                                    library.toString(),
                                    source.toString(),
                                    "-ldl")
                            .redirectErrorStream(true)
                            .start();
        } catch (IOException e) {
            return null;
        }
        try {
            String said =
                    new String(compiler.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("cannot build " + SOURCE + ": " + said);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        return library;
    }

    /**
     * Prepares faults for one process.
     *
     * @param library from {@link #build}
     * @param controlFile shared with the process; made anew
     * @throws IOException where the file cannot be made
     */
    public static SystemCallFaults prepare(Path library, Path controlFile) throws IOException {
        return new SystemCallFaults(library, controlFile);
    }

    /** Adds to a process's environment what loads the library into it. */
    public void addTo(Map<String, String> environment) {
        environment.put("LD_PRELOAD", library.toString());
        environment.put("SYSTEM_CALL_FAULTS", controlFile.toString());
    }

    /** Lets each {@code every}-th call fail from now on. */
    public void fail(SystemCall call, Errno with, int every) {
        set(call, with.number, every);
    }

    /** Lets each {@code every}-th read or write do one byte alone from now on. */
    public void shorten(SystemCall call, int every) {
        set(call, SHORT, every);
    }

    /** Lets a call work again. */
    public void clear(SystemCall call) {
        set(call, 0, 0);
    }

    private void set(SystemCall call, int error, int every) {
        control.putLong(rule(call) + EVERY, every);
        control.putLong(rule(call), error);
    }

    /** Sets the process's wall clock off by so many nanoseconds. */
    public void stepWallClock(long offsetNanos) {
        control.putLong(0, offsetNanos);
    }

    /** {@return how often a call was made to fail} */
    public long failures(SystemCall call) {
        return control.getLong(rule(call) + FAILURES);
    }

    private static int rule(SystemCall call) {
        return HEADER_BYTES + RULE_BYTES * call.ordinal();
    }
}

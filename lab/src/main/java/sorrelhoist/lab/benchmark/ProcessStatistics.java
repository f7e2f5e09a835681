package sorrelhoist.lab.benchmark;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system and the JDK's tools tell of a Java process. */
final class ProcessStatistics {
    private static final int CLOCK_TICKS_PER_SECOND = 100;
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;
    private static final int BYTES_PER_KILOBYTE = 1024;

    private ProcessStatistics() {}

    /** {@return user and system time of a process, microseconds} */
    static long cpuMicros(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        // The fields after the program's name, which may contain spaces.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        return ticks * 1_000_000 / CLOCK_TICKS_PER_SECOND;
    }

    /** {@return the resident memory of a process} */
    static long residentBytes(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .map(kilobytes -> kilobytes * BYTES_PER_KILOBYTE)
                .sum();
    }

    /** {@return the bytes of objects that live after a full collection, as counted by jcmd} */
    static long liveHeapBytes(long pid) throws IOException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        Process process =
                new ProcessBuilder(jcmd, Long.toString(pid), "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String[] lines = output.split("\n");
        for (int i = lines.length - 1; i >= 0; i--) {
            if (lines[i].startsWith("Total")) {
                return Long.parseLong(lines[i].trim().split("\\s+")[2]);
            }
        }
        throw new IOException("jcmd told nothing of process " + pid);
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each thing that was sent, answered or run, with its time. */
final class Journal {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Journal() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** {@return milliseconds since the start of the test} */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void line(String who, String what) {
        if (out != null) {
            out.printf(Locale.ROOT, "%10.1f %-10s %s%n", now(), who, what);
        }
    }

    static void verdict(String text) {
        line("verdict", text);
        System.out.println(text);
    }
}

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What all cases share: the run's folder, its processes and its exit status. */
final class Stand {
    static final List<Process> started = new CopyOnWriteArrayList<>();
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption takes place; run.sh sets it from TROUBLE. */
    static final boolean TROUBLE = !"0".equals(System.getProperty("trouble"));

    private Stand() {}

    /** A step that may throw. */
    interface Step {
        void run() throws Exception;
    }

    /** A case: plays, and says whether the rule was broken. */
    interface Case {
        boolean isBroken(Record record, Path folder) throws Exception;
    }

    static Thread thread(String name, Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (Exception e) {
                                // The connection or the run has ended.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static Set<String> newStates() {
        return ConcurrentHashMap.newKeySet();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void play(String caseFolder, Case played) throws Exception {
        Record record = new Record(Path.of(caseFolder, "record.txt"));
        Path folder = Files.createTempDirectory("review-2-");
        int status = NOT_RUN;
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> started.forEach(Process::destroyForcibly)));
        try {
            record.line(TROUBLE ? "with the disruption" : "without the disruption");
            status = played.isBroken(record, folder) ? BROKEN : HELD;
            record.say(status == BROKEN ? "RULE BROKEN" : "RULE HELD");
        } catch (Exception | AssertionError e) {
            record.say("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            for (Process process : started) {
                process.destroyForcibly().waitFor();
            }
            try (var files = Files.walk(folder)) {
                if (System.getenv("KEEP") == null) {
                    files.sorted(java.util.Comparator.reverseOrder())
                            .forEach(file -> file.toFile().delete());
                } else {
                    System.out.println("kept " + folder);
                }
            }
        }
        System.exit(status);
    }
}

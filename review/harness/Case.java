import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The frame of one case: routers, workers and discovery, and the end of all of them. */
abstract class Case implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;
    private static final long MAX_MILLIS = 110_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of(System.getProperty("root"));
    final Path temporary;
    final Fleet fleet = new Fleet();
    final List<RouterNode> routers = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final List<Discovery> discoveries = new ArrayList<>();

    Case() throws IOException {
        temporary = Files.createTempDirectory("review");
    }

    /** Plays the case. {@return the exit status} */
    abstract int play() throws Exception;

    Discovery discovery(String name) throws IOException {
        Discovery discovery = new Discovery(name);
        discoveries.add(discovery);
        return discovery;
    }

    Worker worker(String uid, String kind, boolean reader, int cell) throws IOException {
        Worker worker = new Worker(fleet, uid, kind, reader, "mixco", cell);
        workers.add(worker);
        return worker;
    }

    /** Starts routers that all have one discovery agent each, and waits until they are ready. */
    boolean startRouters(Settings settings, List<Discovery> agents, String known)
            throws IOException, InterruptedException {
        List<String> peers = new ArrayList<>();
        for (int i = 0; settings.peers && i < settings.routers; i++) {
            peers.add("127.0.0.1:" + RouterNode.freeUdpPort());
        }
        for (int i = 0; i < settings.routers; i++) {
            RouterNode router = new RouterNode(root, temporary, "n" + i);
            router.configure(agents.get(i).address(), known, settings, peers, i);
            routers.add(router);
        }
        for (RouterNode router : routers) {
            router.start();
        }
        for (RouterNode router : routers) {
            if (!router.awaitReady(30_000)) {
                Journal.line(router.name, "is not ready: " + router.log());
                return false;
            }
        }
        return true;
    }

    /** Plays a case and ends the process; a case that takes too long could not run. */
    static void run(Case test) {
        int status = COULD_NOT_RUN;
        Discovery.daemon(() -> {
            try {
                Thread.sleep(MAX_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            Journal.verdict("the case could not run: it took too long");
            System.exit(COULD_NOT_RUN);
        });
        Thread end = new Thread(test::close);
        Runtime.getRuntime().addShutdownHook(end);
        try {
            status = test.play();
        } catch (Exception | Error e) {
            Journal.verdict("the case could not run: " + e);
            e.printStackTrace();
        }
        test.close();
        System.exit(status);
    }

    @Override
    public synchronized void close() {
        routers.forEach(RouterNode::close);
        try {
            for (RouterNode router : routers) {
                String log = router.log();
                if (!log.isEmpty()) {
                    Journal.line(router.name, "said:\n" + log.strip());
                }
            }
            for (Worker worker : workers) {
                worker.close();
            }
            for (Discovery discovery : discoveries) {
                discovery.close();
            }
            if (Files.exists(temporary)) {
                try (var files = Files.walk(temporary)) {
                    for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(file);
                    }
                }
            }
        } catch (IOException e) {
            System.err.println("while ending: " + e);
        }
        routers.clear();
    }
}

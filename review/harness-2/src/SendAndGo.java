import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends many requests at once on one connection and goes. */
final class SendAndGo {
    private static final long DEADLINE = 4000;
    private static final double ALLOWED_MILLIS = 100;

    /** For the stand-ins' own delays. */
    private static final double SLACK_MILLIS = 50;

    private static final int MANY = 8;
    private static final int BODY_BYTES = 240_000;

    public static void main(String[] args) throws Exception {
        Stand.play(args[0], SendAndGo::isBroken);
    }

    private static boolean isBroken(Record record, Path folder) throws Exception {
        Set<String> states = Stand.newStates();
        Map<String, List<Double>> attempts = new ConcurrentHashMap<>();
        Discovery discovery = new Discovery(record, "A", 41);
        for (int i = 0; i < 6; i++) {
            boolean reader = i < 3;
            Worker worker = new Worker(record, (reader ? "r" : "w") + i, reader, states) {
                @Override
                void arrived(String id) {
                    attempts.computeIfAbsent(id, k -> new ArrayList<>()).add(record.now());
                }
            };
            worker.readMillis = 600;
            discovery.put(worker.uid, worker.entry("active"));
        }
        Router.Settings settings = new Router.Settings();
        settings.classes = Router.requestClass("consulta", 1000, DEADLINE, "read_like", 0);
        Router router = new Router(record, folder, "n0", settings, discovery);
        router.start(discovery);
        router.awaitReady();
        int broken = 0;
        for (int round = 0; round < 8; round++) {
            broken += round(record, router, attempts, round);
        }
        record.say(broken + " attempts began more than 0.1 s after their client had closed");
        return broken > 0;
    }

    private static int round(
            Record record, Router router, Map<String, List<Double>> attempts, int round)
            throws Exception {
        String name = "p" + round + "-";
        Socket socket = new Socket("127.0.0.1", router.port);
        socket.setTcpNoDelay(true);
        OutputStream out = socket.getOutputStream();
        Thread sender = Stand.thread("sender", () -> {
            for (int i = 0; i < MANY; i++) {
                out.write(Client.request(name + i, "consulta", DEADLINE, BODY_BYTES));
            }
            record.line("client sent " + MANY + " requests " + name);
        });
        Thread.sleep(150);
        double goneAt = Double.MAX_VALUE;
        if (Stand.TROUBLE) {
            socket.close();
            goneAt = record.now();
            record.line("client of " + name + " has closed its connection");
            Thread.sleep(3000);
        } else {
            socket.setSoTimeout(6000);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < MANY; i++) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    break;
                }
                Http.readContent(in, head);
                record.line("client got " + name + i + " " + head.status());
            }
            socket.close();
        }
        int late = 0;
        for (int i = 0; i < MANY; i++) {
            for (double at : attempts.getOrDefault(name + i, List.of())) {
                if (at > goneAt + ALLOWED_MILLIS + SLACK_MILLIS) {
                    late++;
                    record.say(String.format("attempt of %s began %.0f ms after the close", name + i, at - goneAt));
                }
            }
        }
        return late;
    }
}

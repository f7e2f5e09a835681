import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Bad clients send heads of many short fields that do not end. */
final class ManyFields {
    private static final long DEADLINE = 4000;

    public static void main(String[] args) throws Exception {
        Stand.play(args[0], ManyFields::isBroken);
    }

    private static boolean isBroken(Record record, Path folder) throws Exception {
        Set<String> states = Stand.newStates();
        Discovery discovery = new Discovery(record, "A", 41);
        for (int i = 0; i < 6; i++) {
            boolean reader = i < 3;
            Worker worker = new Worker(record, (reader ? "r" : "w") + i, reader, states);
            discovery.put(worker.uid, worker.entry("active"));
        }
        Router.Settings settings = new Router.Settings();
        settings.memoryMb = 128;
        settings.sockets = 512;
        settings.classes = Router.requestClass("consulta", 1000, DEADLINE, "read_like", 0);
        Router router = new Router(record, folder, "n0", settings, discovery);
        router.start(discovery);
        router.awaitReady();
        StringBuilder head = new StringBuilder("POST /v1/chat/completions HTTP/1.1\r\n");
        for (int i = 0; head.length() < 16_200; i++) {
            head.append(Integer.toString(i, 36)).append(":\r\n");
        }
        byte[] bytes = Http.bytes(head.toString());
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            if (i == 60 && Stand.TROUBLE) {
                int many = 160;
                record.line(many + " bad clients begin");
                for (int j = 0; j < many; j++) {
                    Stand.thread("bad", () -> bad(router.port, bytes));
                }
            }
            Client client = new Client(record, "u" + i, "consulta");
            clients.add(client);
            threads.add(Stand.thread("client", () -> client.run(router.port, DEADLINE, 4000, 12000)));
            Thread.sleep(50);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int broken = 0;
        for (Client client : clients) {
            if (client.isLost(DEADLINE)) {
                broken++;
                record.line("lost " + client.id + " " + client.end);
            }
        }
        boolean alive = router.isAlive();
        record.say(broken + " of " + clients.size() + " requests got no answer; the router's process "
                + (alive ? "is still there" : "has ended"));
        for (String line : router.log().split("\n")) {
            record.line("log of the router: " + line);
        }
        return broken > 0 || !alive;
    }

    private static void bad(int port, byte[] bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(bytes);
            while (socket.getInputStream().read() >= 0) {
                // Reads whatever comes.
            }
        }
    }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A client sends hundreds of large requests at once, each on a connection of its own; up to three times,
 * each time only once all are answered.
 */
final class ManyLarge {
    private static final long DEADLINE = 8000;

    public static void main(String[] args) throws Exception {
        Stand.play(args[0], ManyLarge::isBroken);
    }

    private static boolean isAnswered(Client client) {
        return client.end == Client.End.SERVED || client.end == Client.End.REFUSED
                || client.end == Client.End.FAILED;
    }

    private static boolean isBroken(Record record, Path folder) throws Exception {
        Set<String> states = Stand.newStates();
        Discovery discovery = new Discovery(record, "A", 41);
        for (int i = 0; i < 12; i++) {
            boolean reader = i < 6;
            Worker worker = new Worker(record, (reader ? "r" : "w") + i, reader, states) {
                @Override
                long readMillis(long tokens, long kept) {
                    return 20 + (tokens - kept) / 20;
                }
            };
            worker.events = 20;
            discovery.put(worker.uid, worker.entry("active"));
        }
        Router.Settings settings = new Router.Settings();
        settings.sockets = 1024;
        settings.memoryMb = 64;
        settings.classes = Router.requestClass("consulta", 2000, DEADLINE, "read_like", 0);
        Router router = new Router(record, folder, "n0", settings, discovery);
        router.start(discovery);
        router.awaitReady();
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        List<Client> bad = new ArrayList<>();
        int times = 0;
        for (int i = 0; i < 400; i++) {
            // Again only where all of the last time have their answers, so that no more are open at once.
            if (i >= 60 && times < 3 && Stand.TROUBLE && bad.stream().allMatch(ManyLarge::isAnswered)) {
                times++;
                record.line("a client sends 315 requests at once");
                bad.clear();
                for (int j = 0; j < 315; j++) {
                    Client one = new Client(record, "bad" + times + "-" + j, "consulta");
                    one.prefix = "prefix=5c0f6e1a2b3d4c59,prefix_len=62000";
                    bad.add(one);
                    Stand.thread("bad", () -> one.run(router.port, DEADLINE, 262_000, 10_000));
                }
            }
            Client client = new Client(record, "u" + i, "consulta");
            clients.add(client);
            threads.add(Stand.thread("client", () -> client.run(router.port, DEADLINE, 8000, 12000)));
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
        record.say(broken + " of " + clients.size() + " requests of usual clients got no answer; "
                + times + " times of 315 at once; the"
                + " router's process " + (alive ? "is still there" : "has ended"));
        for (String line : router.log().split("\n")) {
            record.line("log of the router: " + line);
        }
        return broken > 0 || !alive;
    }
}

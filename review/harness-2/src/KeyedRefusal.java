import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A keyed request runs at a writer that hangs, and is refused after the window for repeats. */
final class KeyedRefusal {
    private static final long DEADLINE = 3000;
    private static final long WINDOW = 1000;

    /** The protocol's slack for every time limit. */
    private static final long SLACK_MILLIS = 50;

    public static void main(String[] args) throws Exception {
        Stand.play(args[0], KeyedRefusal::isBroken);
    }

    private static boolean isBroken(Record record, Path folder) throws Exception {
        Set<String> states = Stand.newStates();
        Map<String, Double> runs = new ConcurrentHashMap<>();
        Discovery discovery = new Discovery(record, "A", 41);
        List<Worker> writers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            boolean reader = i < 2;
            Worker worker = new Worker(record, (reader ? "r" : "w") + i, reader, states) {
                @Override
                void began(String id) {
                    runs.putIfAbsent(id, record.now());
                }
            };
            discovery.put(worker.uid, worker.entry("active"));
            worker.readsItself = true;
            worker.firstEventMillis = 300;
            if (!reader) {
                writers.add(worker);
            }
        }
        Router.Settings settings = new Router.Settings();
        settings.writersRead = true;
        settings.classes = Router.requestClass("reserva", 1000, DEADLINE, "idempotency_key", WINDOW);
        Router router = new Router(record, folder, "n0", settings, discovery);
        router.start(discovery);
        router.awaitReady();
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 160; i++) {
            if (i == 40 && Stand.TROUBLE) {
                // One of four writers hangs in the middle of its work.
                writers.get(0).hanging = true;
                record.line("worker " + writers.get(0).uid + " hangs");
            }
            Client client = new Client(record, "k" + i, "reserva");
            clients.add(client);
            threads.add(Stand.thread("client", () -> client.run(router.port, DEADLINE, 2000, 10000)));
            Thread.sleep(50);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        List<Client> refused = new ArrayList<>();
        for (Client client : clients) {
            Double ran = runs.get(client.id);
            if (client.end == Client.End.REFUSED && ran != null
                    && client.endedAt > ran + WINDOW + SLACK_MILLIS) {
                refused.add(client);
                record.say(String.format(
                        "refused %.0f ms after it began at a writer: %s", client.endedAt - ran, client.id));
            }
        }
        int twice = 0;
        for (Client client : refused) {
            // The client has been told that trying again is harmless, and when.
            Client again = new Client(record, client.id + "-again", "reserva");
            again.run(router.port, DEADLINE, 2000, 10000);
            Double ranAgain = runs.get(again.id);
            if (ranAgain != null) {
                twice++;
                record.say(String.format("tried again and ran again %.0f ms after the first time: %s",
                        ranAgain - runs.get(client.id), client.id));
            }
        }
        record.say(refused.size() + " of " + clients.size() + " refused after the window, " + twice
                + " of these have run twice");
        return !refused.isEmpty();
    }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/** Workers begin to drain while a router is down; it starts again with the list that it had. */
final class StaleStart {
    private static final long DEADLINE = 10_000;
    private static final long GRACE = 500;
    private static final long SLACK = 50;

    /** How long discovery takes to answer, from the kill on. */
    private static final long DISCOVERY_MILLIS = 700;

    public static void main(String[] args) throws Exception {
        Stand.play(args[0], StaleStart::isBroken);
    }

    private record Sent(String worker, String id, double at) {}

    private static boolean isBroken(Record record, Path folder) throws Exception {
        Set<String> states = Stand.newStates();
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        Discovery discovery = new Discovery(record, "A", 41);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            boolean reader = i < 4;
            Worker worker = new Worker(record, (reader ? "r" : "w") + i, reader, states) {
                @Override
                void arrived(String id) {
                    sent.add(new Sent(uid, id, record.now()));
                }
            };
            workers.add(worker);
            discovery.put(worker.uid, worker.entry("active"));
        }
        Router.Settings settings = new Router.Settings();
        settings.drainGraceMillis = GRACE;
        settings.resume = false;
        settings.classes = Router.requestClass("offer-text", 2000, DEADLINE, "read_like", 0);
        Router router = new Router(record, folder, "n0", settings, discovery);
        router.start(discovery);
        router.awaitReady();
        List<Worker> draining =
                List.of(workers.get(0), workers.get(1), workers.get(4), workers.get(5));
        double[] startedAt = {Double.MAX_VALUE};
        Thread trouble = Stand.thread("trouble", () -> {
            Thread.sleep(2000);
            if (!Stand.TROUBLE) {
                drain(discovery, draining);
                router.writeConfig(settings, discovery);
            }
            Thread.sleep(1500);
            router.signal("KILL");
            discovery.delayMillis = DISCOVERY_MILLIS;
            if (Stand.TROUBLE) {
                drain(discovery, draining);
            }
            Thread.sleep(1600);
            router.start(discovery);
            startedAt[0] = record.now();
        });
        // The front goes on dealing connections to the router, also while it is dead.
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Client client = new Client(record, "u" + i, "offer-text");
            clients.add(client);
            threads.add(Stand.thread("client", () -> client.run(router.port, DEADLINE, 4000, 12000)));
            Thread.sleep(30);
        }
        trouble.join();
        for (Thread thread : threads) {
            thread.join();
        }
        int broken = 0;
        int after = 0;
        for (Sent s : sent) {
            after += s.at() > startedAt[0] ? 1 : 0;
            boolean drains = draining.stream().anyMatch(worker -> worker.uid.equals(s.worker()));
            if (drains && s.at() > startedAt[0] + GRACE + SLACK) {
                broken++;
                record.say(String.format("%s drains and got %s %.0f ms after the start of the process",
                        s.worker(), s.id(), s.at() - startedAt[0]));
            }
        }
        if (after < 50) {
            throw new IllegalStateException("the router did not serve after its restart");
        }
        record.say(broken + " of " + after + " attempts after the restart went to a draining worker late");
        return broken > 0;
    }

    private static void drain(Discovery discovery, List<Worker> workers) {
        workers.forEach(worker -> discovery.publish(worker.uid, worker.entry("leaving"), false));
    }
}

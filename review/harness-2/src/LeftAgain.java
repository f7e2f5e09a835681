import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/** A new configuration moves discovery to an address that is some seconds behind. */
final class LeftAgain {
    private static final long DEADLINE = 4000;
    private static final long GRACE = 1000;
    private static final long SLACK = 50;

    /** How far the new address is behind. */
    private static final long BEHIND_MILLIS = 3000;

    public static void main(String[] args) throws Exception {
        Stand.play(args[0], LeftAgain::isBroken);
    }

    private record Sent(String worker, String id, double at) {}

    private static boolean isBroken(Record record, Path folder) throws Exception {
        Set<String> states = Stand.newStates();
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        Discovery before = new Discovery(record, "A", 41);
        Discovery after = new Discovery(record, "B", 41);
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
            before.put(worker.uid, worker.entry("active"));
            after.put(worker.uid, worker.entry("active"));
        }
        Router.Settings settings = new Router.Settings();
        settings.drainGraceMillis = GRACE;
        settings.classes = Router.requestClass("consulta", 1000, DEADLINE, "read_like", 0);
        Router router = new Router(record, folder, "n0", settings, before);
        router.start(before);
        router.awaitReady();
        List<Worker> leaving = List.of(workers.get(0), workers.get(4));
        double[] toldAt = {Double.MAX_VALUE};
        long behind = Stand.TROUBLE ? BEHIND_MILLIS : 0;
        Thread trouble = Stand.thread("trouble", () -> {
            Thread.sleep(2000);
            later(behind, () -> publish(after, leaving, "leaving"));
            publish(before, leaving, "leaving");
            Thread.sleep(1500);
            later(behind, () -> publish(after, leaving, "left"));
            publish(before, leaving, "left");
            toldAt[0] = record.now();
            Thread.sleep(1200);
            router.writeConfig(settings, after);
            router.signal("HUP");
            before.retire(1500);
        });
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 350; i++) {
            Client client = new Client(record, "u" + i, "consulta");
            threads.add(Stand.thread("client", () -> client.run(router.port, DEADLINE, 4000, 12000)));
            Thread.sleep(30);
        }
        trouble.join();
        for (Thread thread : threads) {
            thread.join();
        }
        int broken = 0;
        for (Sent s : sent) {
            boolean left = leaving.stream().anyMatch(worker -> worker.uid.equals(s.worker()));
            if (left && s.at() > toldAt[0] + GRACE + SLACK) {
                broken++;
                record.say(String.format("%s has left and got %s %.0f ms after the router was told",
                        s.worker(), s.id(), s.at() - toldAt[0]));
            }
        }
        record.say(broken + " attempts to workers that had left");
        return broken > 0;
    }

    private static void later(long millis, Stand.Step step) {
        Stand.thread("later", () -> {
            Thread.sleep(millis);
            step.run();
        });
    }

    private static void publish(Discovery discovery, List<Worker> workers, String state) {
        workers.forEach(worker ->
                discovery.publish(worker.uid, worker.entry(state), state.equals("left")));
    }
}

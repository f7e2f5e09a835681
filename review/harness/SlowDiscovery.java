import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Discovery is slow when a router starts: an answer to a call takes 1.5 s. Later two workers begin
 * to drain. What is sent to them from 6 s and the grace afterwards breaks the rule.
 */
final class SlowDiscovery extends Case {
    private static final long ANSWER_MILLIS = 1500;
    private static final double TOLD_MILLIS = 6000;
    private static final double SLACK_MILLIS = 50;

    SlowDiscovery() throws Exception {}

    public static void main(String[] args) throws Exception {
        Journal.open(Path.of(args[0]));
        run(new SlowDiscovery());
    }

    @Override
    int play() throws Exception {
        Settings settings = new Settings();
        List<Discovery> agents = List.of(discovery("d0"), discovery("d1"));
        for (int i = 0; i < 4; i++) {
            worker("r" + i, "prefill", true, i % 2);
            worker("w" + i, "decode", false, i % 2);
        }
        for (Discovery agent : agents) {
            for (Worker worker : workers) {
                agent.put(worker, "active");
            }
            if (trouble) {
                agent.answerDelayMillis = ANSWER_MILLIS;
            }
        }
        if (trouble) {
            Journal.line("trouble", "answers of discovery take " + ANSWER_MILLIS + " ms");
        }
        if (!startRouters(settings, agents, agents.get(0).known())) {
            return COULD_NOT_RUN;
        }
        Worker reader = workers.get(0);
        Worker writer = workers.get(1);
        for (Discovery agent : agents) {
            agent.put(reader, "leaving");
            agent.put(writer, "leaving");
        }
        double told = Journal.now() + TOLD_MILLIS;
        double allowedUntil = told + settings.drainGraceMillis + SLACK_MILLIS;
        List<String> late = new ArrayList<>();
        fleet.listener = (worker, id, budget) -> {
            double now = Journal.now();
            if ((worker == reader || worker == writer) && now > allowedUntil) {
                synchronized (late) {
                    late.add(id + " to " + worker.uid + " " + Math.round(now - told)
                            + " ms after it counted as told");
                }
            }
        };
        ExecutorService pool = Executors.newCachedThreadPool();
        int sent = 0;
        while (Journal.now() < allowedUntil + 10_000) {
            String id = "q" + sent;
            RouterNode router = routers.get(sent++ % routers.size());
            pool.submit(() -> Client.call(fleet, router.listen, id,
                    Client.request(id, settings.className, "chat", settings.deadlineMillis, 4000),
                    8000));
            Thread.sleep(150);
        }
        pool.shutdownNow();
        Journal.verdict(late.size() + " sends to draining workers more than the grace after they"
                + " counted as told: " + late.stream().limit(6).toList());
        return late.isEmpty() ? HELD : BROKEN;
    }
}

import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends hundreds of requests at once on one connection and goes. Does any attempt begin
 * for it more than 0.1 s after its close?
 */
final class GoneClient extends Case {
    private static final int REQUESTS_AT_ONCE = 300;
    private static final int PROMPT_CHARS = 4000;
    private static final long STAYS_MILLIS = 150;
    private static final double GRACE_MILLIS = 100;
    private static final int CLIENTS = 4;

    GoneClient() throws Exception {}

    public static void main(String[] args) throws Exception {
        Journal.open(Path.of(args[0]));
        run(new GoneClient());
    }

    @Override
    int play() throws Exception {
        Settings settings = new Settings();
        List<Discovery> agents = List.of(discovery("d0"), discovery("d1"));
        for (int i = 0; i < 4; i++) {
            worker("r" + i, "prefill", true, i % 2).readMillis = 400;
            worker("w" + i, "decode", false, i % 2);
        }
        for (Discovery agent : agents) {
            for (Worker worker : workers) {
                agent.put(worker, "active");
            }
        }
        if (!startRouters(settings, agents, agents.get(0).known())) {
            return COULD_NOT_RUN;
        }
        for (int i = 0; i < 4; i++) {
            String id = "usual" + i;
            Client.Answer answer = Client.call(fleet, routers.get(i % 2).listen, id,
                    Client.request(id, settings.className, "chat", 4000, PROMPT_CHARS), 6000);
            if (!answer.complete || answer.status != 200) {
                return COULD_NOT_RUN;
            }
        }
        Map<String, Double> goneAt = new ConcurrentHashMap<>();
        List<String> late = new ArrayList<>();
        fleet.listener = (worker, id, budget) -> {
            double now = Journal.now();
            Double gone = goneAt.get(id.replaceAll("-.*", ""));
            if (gone != null && now > gone + GRACE_MILLIS) {
                synchronized (late) {
                    late.add(id + " at " + worker.uid + " " + Math.round(now - gone)
                            + " ms after the close");
                }
            }
        };
        int served = 0;
        for (int c = 0; c < CLIENTS; c++) {
            served += goes("g" + c, routers.get(c % 2), settings, goneAt) ? 1 : 0;
            Thread.sleep(5000);
        }
        if (served < CLIENTS) {
            Journal.line("verdict", "not every client's first request was begun in its time");
        }
        Journal.verdict(late.size() + " attempts began more than 0.1 s after the close: " + late);
        return late.isEmpty() ? served == 0 ? COULD_NOT_RUN : HELD : BROKEN;
    }

    /** {@return whether an attempt had begun for the client before it went} */
    private boolean goes(
            String client, RouterNode router, Settings settings, Map<String, Double> goneAt)
            throws Exception {
        int count = trouble ? REQUESTS_AT_ONCE : 1;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            String id = client + "-" + i;
            fleet.sentIds.add(id);
            bytes.write(Client.request(id, settings.className, "chat", 4000, PROMPT_CHARS));
        }
        boolean[] begun = {false};
        Fleet.Listener judge = fleet.listener;
        fleet.listener = (worker, id, budget) -> {
            begun[0] |= id.startsWith(client);
            judge.begun(worker, id, budget);
        };
        try (Socket socket = Client.connect(router.listen)) {
            double sentAt = Journal.now();
            Journal.line("client", "sends " + count + " requests, " + client + "-0 and so on, "
                    + bytes.size() + " bytes");
            socket.getOutputStream().write(bytes.toByteArray());
            Journal.line("client", "has written the last byte");
            Thread.sleep(Math.max(1, STAYS_MILLIS - (long) (Journal.now() - sentAt)));
        }
        goneAt.put(client, Journal.now());
        Journal.line("client", client + " has closed its connection");
        return begun[0];
    }
}

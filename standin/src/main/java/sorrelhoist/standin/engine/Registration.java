package sorrelhoist.standin.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.http1.HttpClient;
import sorrelhoist.protocol.http1.HttpMessage;

/**
 * Keeps an engine registered with a Eureka registry: registers, renews, registers again where it is
 * not known.
 */
final class Registration {
    private static final String APP = "ENGINES";
    private static final long TIMEOUT = 1_000_000;
    private final EngineSettings s;
    private final EventLoop loop;
    private final HttpClient client;
    private final byte[] body;
    private final Valve valve;
    private boolean stopped;

    Registration(
            EngineSettings s,
            EventLoop loop,
            String host,
            int port,
            long startedMillis,
            Valve valve) {
        this.s = s;
        this.loop = loop;
        this.valve = valve;
        this.client = new HttpClient(loop, s.registry());
        ObjectNode root = new ObjectMapper().createObjectNode();
        ObjectNode i = root.putObject("instance");
        i.put("instanceId", s.id())
                .put("hostName", host)
                .put("app", APP)
                .put("ipAddr", host)
                .put("status", "UP");
        i.putObject("port").put("$", port).put("@enabled", "true");
        i.put("vipAddress", "engines");
        i.putObject("dataCenterInfo")
                .put("@class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo")
                .put("name", "MyOwn");
        i.putObject("leaseInfo")
                .put("renewalIntervalInSecs", Math.max(1, s.renewMicros() / 1_000_000))
                .put("durationInSecs", Math.max(1, s.leaseMicros() / 1_000_000));
        i.putObject("metadata")
                .put("zone", s.zone())
                .put("rack", s.rack())
                .put("kind", s.kind())
                .put("size", Double.toString(Math.max(0.001, s.warmSendsPerSecond())))
                .put("started-ms", Long.toString(startedMillis));
        body = root.toString().getBytes(StandardCharsets.UTF_8);
    }

    void start() {
        send("POST", "/eureka/apps/" + APP, body);
        loop.schedule(this::renew, s.renewMicros(), TimeUnit.MICROSECONDS);
    }

    private void renew() {
        if (stopped) {
            return;
        }
        loop.schedule(this::renew, s.renewMicros(), TimeUnit.MICROSECONDS);
        if (!valve.isShut()) {
            send("PUT", "/eureka/apps/" + APP + "/" + s.id() + "?status=UP", new byte[0]);
        }
    }

    void override(String status) {
        send("PUT", "/eureka/apps/" + APP + "/" + s.id() + "/status?value=" + status, new byte[0]);
    }

    void stop() {
        stopped = true;
    }

    private void send(String method, String target, byte[] content) {
        Map<String, String> headers =
                content.length == 0 ? Map.of() : Map.of("content-type", "application/json");
        client.send(HttpMessage.request(method, target, headers, content), TIMEOUT)
                .whenComplete(
                        (r, e) -> {
                            if (!stopped
                                    && r != null
                                    && r.status() == 404
                                    && method.equals("PUT")) {
                                send("POST", "/eureka/apps/" + APP, body);
                            }
                        });
    }
}

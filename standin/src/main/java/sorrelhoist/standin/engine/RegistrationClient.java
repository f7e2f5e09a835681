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
 * Keeps an engine registered with a Eureka registry: registers it, renews its lease, and registers
 * it again if the registry does not know it any more.
 */
final class RegistrationClient {
    private static final String APPLICATION = "ENGINES";
    private static final String APPLICATION_PATH = "/eureka/apps/" + APPLICATION;
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final double MIN_SIZE = 0.001;
    private static final int NOT_FOUND = 404;
    private final EngineSettings settings;
    private final EventLoop loop;
    private final HttpClient client;
    private final byte[] registration;
    private final NetworkPartition partition;
    private boolean stopped;

    /**
     * Creates a client; {@link #start} registers the engine.
     *
     * @param settings of the engine
     * @param loop the engine's event loop
     * @param host where it listens
     * @param port where it listens
     * @param startedAtMicros when it started, microseconds since 1970
     * @param partition keeps it from renewing its lease
     */
    RegistrationClient(
            EngineSettings settings,
            EventLoop loop,
            String host,
            int port,
            long startedAtMicros,
            NetworkPartition partition) {
        this.settings = settings;
        this.loop = loop;
        this.partition = partition;
        this.client = new HttpClient(loop, settings.registry());
        this.registration =
                registration(settings, host, port, startedAtMicros / 1000)
                        .toString()
                        .getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode registration(
            EngineSettings settings, String host, int port, long startedAtMillis) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        ObjectNode instance = root.putObject("instance");
        instance.put("instanceId", settings.id())
                .put("hostName", host)
                .put("app", APPLICATION)
                .put("ipAddr", host)
                .put("status", "UP");
        instance.putObject("port").put("$", port).put("@enabled", "true");
        instance.put("vipAddress", "engines");
        instance.putObject("dataCenterInfo")
                .put("@class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo")
                .put("name", "MyOwn");
        instance.putObject("leaseInfo")
                .put("renewalIntervalInSecs", wholeSeconds(settings.renewMicros()))
                .put("durationInSecs", wholeSeconds(settings.leaseMicros()));
        instance.putObject("metadata")
                .put("zone", settings.zone())
                .put("rack", settings.rack())
                .put("kind", settings.kind())
                .put("size", Double.toString(Math.max(MIN_SIZE, settings.warmSendsPerSecond())))
                .put("started-ms", Long.toString(startedAtMillis));
        return root;
    }

    private static long wholeSeconds(long micros) {
        return Math.max(1, micros / MICROS_PER_SECOND);
    }

    void start() {
        register();
        scheduleRenewal();
    }

    /** Sets the status that the registry lists in place of the engine's own. */
    void override(String status) {
        put(instancePath() + "/status?value=" + status);
    }

    /** Renews no more, as the end of the process would. */
    void stop() {
        stopped = true;
    }

    private void scheduleRenewal() {
        loop.schedule(this::renew, settings.renewMicros(), TimeUnit.MICROSECONDS);
    }

    private void renew() {
        if (stopped) {
            return;
        }
        scheduleRenewal();
        if (!partition.isActive()) {
            put(instancePath() + "?status=UP");
        }
    }

    private String instancePath() {
        return APPLICATION_PATH + "/" + settings.id();
    }

    private void register() {
        Map<String, String> headers = Map.of("content-type", "application/json");
        client.send(
                HttpMessage.request("POST", APPLICATION_PATH, headers, registration),
                TIMEOUT_MICROS);
    }

    private void put(String target) {
        client.send(HttpMessage.request("PUT", target, Map.of(), new byte[0]), TIMEOUT_MICROS)
                .whenComplete(
                        (response, failure) -> {
                            if (!stopped && response != null && response.status() == NOT_FOUND) {
                                register();
                            }
                        });
    }
}

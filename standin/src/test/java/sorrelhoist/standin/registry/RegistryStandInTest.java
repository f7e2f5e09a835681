package sorrelhoist.standin.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.http1.HttpClient;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Eureka's REST operations as published, in JSON and XML, and the faults that the stand-in injects
 * into itself on command.
 */
class RegistryStandInTest {
    private final EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "registry-test");
    private RegistryStandIn registry;
    private HttpClient http;

    @BeforeEach
    void start() throws Exception {
        registry =
                new RegistryStandIn(new RegistryStandIn.Settings(0, 20_000, 30_000_000, ""), loops)
                        .start();
        http = new HttpClient(loops.next(), LoopbackTransport.LOOPBACK + ":" + registry.port());
    }

    @AfterEach
    void stop() {
        registry.stop();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private HttpMessage call(String method, String target, String type, String body)
            throws Exception {
        Map<String, String> headers =
                type.isEmpty()
                        ? Map.of("accept", "application/json")
                        : Map.of("content-type", type, "accept", "application/json");
        return http.send(
                        HttpMessage.request(
                                method, target, headers, body.getBytes(StandardCharsets.UTF_8)),
                        3_000_000)
                .get(5, TimeUnit.SECONDS);
    }

    private int register(String id, int leaseSeconds) throws Exception {
        return call(
                        "POST",
                        "/eureka/apps/engines",
                        "application/json",
                        "{\"instance\":{\"instanceId\":\""
                                + id
                                + "\",\"hostName\":\"127.0.0.1\",\"app\":\"ENGINES\","
                                + "\"status\":\"UP\","
                                + "\"ipAddr\":\"127.0.0.1\",\"port\""
                                + ":{\"$\":99,\"@enabled\":\"true\"},"
                                + "\"leaseInfo\":{\"durationInSecs\":"
                                + leaseSeconds
                                + "},\"metadata\":{\"zone\":\"a\"}}}")
                .status();
    }

    private JsonNode get(String target) throws Exception {
        HttpMessage r = call("GET", target, "", "");
        assertEquals(200, r.status());
        return new ObjectMapper().readTree(r.body());
    }

    @Test
    void instancesAreRegisteredRenewedOverriddenAndDeletedInJson() throws Exception {
        assertEquals(204, register("e1", 90));
        JsonNode apps = get("/eureka/apps").get("applications");
        assertEquals("UP_1_", apps.get("apps__hashcode").asText());
        assertEquals("ENGINES", apps.at("/application/0/name").asText());
        assertEquals("a", apps.at("/application/0/instance/0/metadata/zone").asText());
        assertEquals(200, call("PUT", "/eureka/apps/ENGINES/e1", "", "").status());
        assertEquals(404, call("PUT", "/eureka/apps/ENGINES/nobody", "", "").status());
        assertEquals(
                200,
                call("PUT", "/eureka/apps/ENGINES/e1/status?value=OUT_OF_SERVICE", "", "")
                        .status());
        assertEquals(
                "OUT_OF_SERVICE", get("/eureka/apps/ENGINES/e1").at("/instance/status").asText());
        assertEquals(
                "OUT_OF_SERVICE",
                get("/eureka/instances/e1").at("/instance/overriddenStatus").asText());
        assertEquals(200, call("DELETE", "/eureka/apps/ENGINES/e1/status", "", "").status());
        assertEquals(
                "UP", get("/eureka/apps/ENGINES").at("/application/instance/0/status").asText());
        JsonNode delta = get("/eureka/apps/delta").get("applications");
        assertEquals(3, delta.at("/application/0/instance").size());
        assertEquals("ADDED", delta.at("/application/0/instance/0/actionType").asText());
        assertEquals("UP_1_", delta.get("apps__hashcode").asText());
        assertEquals(200, call("DELETE", "/eureka/apps/ENGINES/e1", "", "").status());
        assertEquals(404, call("GET", "/eureka/apps/ENGINES/e1", "", "").status());
        assertEquals("", get("/eureka/apps").at("/applications/apps__hashcode").asText());
    }

    @Test
    void instancesAreRegisteredAndListedInXml() throws Exception {
        String xml =
                "<instance><instanceId>x1</instanceId><hostName>127.0.0.1</hostName>"
                    + "<app>ENGINES</app><status>UP</status><port"
                    + " enabled=\"true\">99</port><leaseInfo><durationInSecs>90</durationInSecs>"
                    + "</leaseInfo><metadata><zone>b</zone></metadata></instance>";
        assertEquals(204, call("POST", "/eureka/apps/ENGINES", "application/xml", xml).status());
        assertEquals("b", get("/eureka/apps/ENGINES/x1").at("/instance/metadata/zone").asText());
        String listed =
                http.send(
                                HttpMessage.request(
                                        "GET",
                                        "/eureka/apps",
                                        Map.of("accept", "application/xml"),
                                        new byte[0]),
                                3_000_000)
                        .get(5, TimeUnit.SECONDS)
                        .bodyText();
        assertTrue(listed.contains("<apps__hashcode>UP_1_</apps__hashcode>"), listed);
        assertTrue(listed.contains("<port enabled=\"true\">99</port>"), listed);
        assertEquals(
                400,
                call(
                                "POST",
                                "/eureka/apps/ENGINES",
                                "application/xml",
                                "<!DOCTYPE i [<!ENTITY a"
                                        + " \"b\">]><instance><hostName>&a;</hostName></instance>")
                        .status());
        assertEquals(
                400,
                call("POST", "/eureka/apps/ENGINES", "application/json", "{\"instance\":{}}")
                        .status());
    }

    @Test
    void leasesThatAreNotRenewedExpire() throws Exception {
        register("short", 1);
        register("long", 90);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (call("GET", "/eureka/apps/ENGINES/short", "", "").status() == 200) {
            assertTrue(System.nanoTime() < end);
        }
        assertEquals(
                "DELETED",
                get("/eureka/apps/delta")
                        .at("/applications/application/0/instance/2/actionType")
                        .asText());
        assertEquals(200, call("GET", "/eureka/apps/ENGINES/long", "", "").status());
    }

    @Test
    void faultsOnCommandMakeItFailListNothingAndLag() throws Exception {
        register("e1", 90);
        assertEquals(200, call("POST", "/control?do=empty%2060000", "", "").status());
        assertEquals(0, get("/eureka/apps").at("/applications/application").size());
        assertEquals(200, call("POST", "/control?do=empty%200", "", "").status());
        assertEquals(200, call("POST", "/control?do=lag%2060000%2060000", "", "").status());
        register("e2", 90);
        assertEquals("", get("/eureka/apps").at("/applications/apps__hashcode").asText());
        assertEquals(200, call("POST", "/control?do=lag%200%200", "", "").status());
        assertEquals("UP_2_", get("/eureka/apps").at("/applications/apps__hashcode").asText());
        assertEquals(400, call("POST", "/control?do=dance", "", "").status());
        assertEquals(200, call("POST", "/control?do=err%2060000", "", "").status());
        assertEquals(503, call("GET", "/eureka/apps", "", "").status());
    }

    @Test
    void aFaultOnCommandMakesItHang() throws Exception {
        call("POST", "/control?do=hang%2060000", "", "");
        try {
            http.send(HttpMessage.request("GET", "/eureka/apps", Map.of(), new byte[0]), 100_000)
                    .get(5, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            assertTrue(e.getCause() instanceof java.util.concurrent.TimeoutException);
            return;
        }
        throw new AssertionError("it answered");
    }
}

package sorrelhoist.app;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;

/** Sends an edge a request for a short answer. */
final class InferenceProbe {
    private InferenceProbe() {}

    static ScriptedRequest ask(String id, int maxTokens, long timeoutMicros) {
        return new ScriptedRequest(
                id,
                null,
                null,
                null,
                0,
                "Tell me about the weather in the mountains, please. ".repeat(4),
                maxTokens,
                timeoutMicros);
    }

    static boolean served(LocalFleet fleet, int edge) {
        InferenceClient client = fleet.client(edge);
        try {
            return client.send(ask("probe", 4, 2_000_000), (i, t) -> {})
                    .get(5, TimeUnit.SECONDS)
                    .served();
        } catch (Exception e) {
            return false;
        } finally {
            client.close();
        }
    }
}

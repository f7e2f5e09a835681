package sorrelhoist.app;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.load.Ask;
import sorrelhoist.lab.load.InferClient;

/** Asks an edge for a short answer. */
final class InferenceProbe {
    private InferenceProbe() {}

    static Ask ask(String id, int maxTokens, long timeoutMicros) {
        return new Ask(
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
        InferClient client = fleet.client(edge);
        try {
            return client.ask(ask("probe", 4, 2_000_000), (i, t) -> {})
                    .get(5, TimeUnit.SECONDS)
                    .served();
        } catch (Exception e) {
            return false;
        } finally {
            client.close();
        }
    }
}

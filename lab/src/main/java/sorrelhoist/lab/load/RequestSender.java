package sorrelhoist.lab.load;

import java.util.concurrent.CompletableFuture;
import sorrelhoist.lab.load.InferenceClient.Result;
import sorrelhoist.lab.load.OpenLoopLoad.PlannedRequest;

/**
 * Sends planned requests and traces what their clients see. Event names, keys and status words are
 * read by the judge: they are a stored form.
 */
final class RequestSender {
    private final OpenLoopLoad.EdgeClients clients;
    private final ClientTraceWriter trace;

    RequestSender(OpenLoopLoad.EdgeClients clients, ClientTraceWriter trace) {
        this.clients = clients;
        this.trace = trace;
    }

    /** {@return completed when the request has ended and its end is traced} */
    CompletableFuture<Void> send(PlannedRequest planned) {
        ScriptedRequest request = planned.request();
        long sentAt = ClientTraceWriter.nowMicros();
        trace.writeAt(
                sentAt,
                "sent",
                "req",
                request.id(),
                "cls",
                planned.classIndex(),
                "edge",
                "edge-" + (planned.edge() + 1),
                "timeout",
                request.timeoutMicros());
        CompletableFuture<Void> cancellation = new CompletableFuture<>();
        CompletableFuture<Result> answer =
                clients.edge(planned.edge())
                        .send(
                                request,
                                (index, text) -> {
                                    if (index + 1 == planned.cancelsAtToken()) {
                                        cancellation.complete(null);
                                    }
                                });
        cancellation.thenRun(() -> answer.cancel(false));
        if (planned.cancelsAtToken() == 0) {
            cancellation.complete(null);
        }
        return answer.handle(
                (result, failure) -> {
                    traceEnd(request.id(), result);
                    return null;
                });
    }

    private void traceEnd(String id, Result result) {
        if (result == null) {
            trace.write("final", "req", id, "status", "CANCELLED", "cancelled", true);
            return;
        }
        trace.write(
                "final",
                "req",
                id,
                "status",
                statusWord(result),
                "cancelled",
                false,
                "tokens",
                result.declaredTokens(),
                "pieces",
                result.tokens(),
                "text",
                result.text(),
                "first",
                result.firstTokenMicros(),
                "took",
                result.durationMicros(),
                "pushback",
                result.retryAfterMillis(),
                "message",
                result.status().message());
    }

    private static String statusWord(Result result) {
        return switch (result.end()) {
            case STATUS -> {
                boolean unfinished = result.status().isOk() && !result.served();
                yield unfinished ? "UNFINISHED" : result.status().code().toString();
            }
            case CANCELLED -> "GAVE_UP";
            case BROKEN -> "BROKEN";
            default -> "NOT_SENT";
        };
    }
}

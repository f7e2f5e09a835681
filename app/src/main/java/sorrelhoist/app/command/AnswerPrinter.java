package sorrelhoist.app.command;

import java.util.concurrent.ExecutionException;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;

/** Prints answers to the terminal as they are streamed. */
final class AnswerPrinter {
    private static final long TIMEOUT_MICROS = 10_000_000;
    private static final double MICROS_PER_MILLI = 1000.0;

    private AnswerPrinter() {}

    /** Sends a prompt and prints the answer as it arrives. {@return whether it was served} */
    static boolean print(InferenceClient client, String prompt, int maxTokens) {
        System.out.println("> " + prompt);
        System.out.print("  ");
        ScriptedRequest request =
                new ScriptedRequest("", null, null, null, 0, prompt, maxTokens, TIMEOUT_MICROS);
        try {
            InferenceClient.Result result =
                    client.send(request, (index, text) -> printToken(text)).get();
            System.out.println();
            printResult(result);
            return result.served();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException e) {
            System.out.println("  " + e.getCause().getMessage());
            return false;
        }
    }

    private static void printToken(String text) {
        System.out.print(text);
        System.out.flush();
    }

    private static void printResult(InferenceClient.Result result) {
        if (result.served()) {
            System.out.printf(
                    "  (%d tokens, the first after %.1f ms)%n",
                    result.tokens(), result.firstTokenMicros() / MICROS_PER_MILLI);
            return;
        }
        String hint =
                result.retryAfterMillis() > 0
                        ? " (retry in " + result.retryAfterMillis() + " ms)"
                        : "";
        System.out.println("  " + result.status().code() + ": " + result.status().message() + hint);
    }
}

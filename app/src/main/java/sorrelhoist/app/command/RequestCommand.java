package sorrelhoist.app.command;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.protocol.net.LoopbackTransport;

/** Sends one request to an edge. */
@Command(name = "request", description = "Sends one request and prints the answer.")
public final class RequestCommand implements Callable<Integer> {
    private static final int EXIT_USAGE = 2;

    @Option(names = "--to", required = true, paramLabel = "HOST:PORT", description = "an edge")
    String to;

    @Option(
            names = "--max-tokens",
            defaultValue = "64",
            description = "maximum number of answer tokens")
    int maxTokens;

    @Option(names = "--model", defaultValue = ProcessFleet.MODEL, description = "the model's name")
    String model;

    @Parameters(paramLabel = "PROMPT")
    String prompt;

    @Override
    public Integer call() {
        try {
            InferenceClient client =
                    new InferenceClient(
                            LoopbackTransport.newEventLoops(1, "request").next(), to, model);
            return AnswerPrinter.print(client, prompt, maxTokens) ? 0 : 1;
        } catch (IllegalArgumentException e) {
            System.err.println("--to: " + e.getMessage());
            return EXIT_USAGE;
        }
    }
}

package sorrelhoist.lab.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import sorrelhoist.lab.load.OpenLoopLoad.PlannedRequest;
import sorrelhoist.lab.scenario.Scenario;

/** Draws all requests of a scenario ahead, from its seed alone. */
final class RequestPlanner {
    /** Arrivals are drawn at this multiple of the rate and thinned out to the rate of the time. */
    private static final double MAX_BURST_FACTOR = 4;

    private static final int BYTES_PER_TOKEN = 4;
    private static final int NO_PREFIX = -1;
    private static final String FILLER =
            "please tell me where the pallet for dock seven went and when the truck comes back so"
                + " that we can plan the loading of the next one before noon today thank you very"
                + " much indeed ";
    private final Scenario scenario;
    private final int edges;
    private final SplittableRandom random;
    private final List<PlannedRequest> requests = new ArrayList<>();

    RequestPlanner(Scenario scenario, int edges) {
        this.scenario = scenario;
        this.edges = edges;
        this.random = new SplittableRandom(scenario.seed());
    }

    /** {@return the requests by time} */
    List<PlannedRequest> plan() {
        for (int classIndex = 0; classIndex < scenario.loads().size(); classIndex++) {
            planClass(classIndex);
        }
        requests.sort(Comparator.comparingLong(PlannedRequest::at));
        return requests;
    }

    private void planClass(int classIndex) {
        Scenario.Load load = scenario.loads().get(classIndex);
        double maxRate = load.rate() * MAX_BURST_FACTOR;
        long at = 0;
        for (int number = 0; at < scenario.length(); number++) {
            at += (long) (-Math.log(1 - random.nextDouble()) / maxRate * 1e6);
            double rate = load.rate() * burstFactor(at);
            if (random.nextDouble() * maxRate < rate && at < scenario.length()) {
                requests.add(draw(load, classIndex, number, at));
            }
        }
    }

    private double burstFactor(long at) {
        double factor = 1;
        for (Scenario.ScheduledAction action : scenario.actions()) {
            boolean active = at >= action.at() && at < action.at() + action.duration();
            if (active && action.action().equals("burst")) {
                factor = Math.min(MAX_BURST_FACTOR, factor * action.amount());
            }
        }
        return factor;
    }

    private PlannedRequest draw(Scenario.Load load, int classIndex, int number, long at) {
        String name = load.requestClass();
        int session = random.nextInt(load.sessions());
        int prefix = load.prefixes() == 0 ? NO_PREFIX : random.nextInt(load.prefixes());
        String prompt = drawPrompt(load, session, prefix, number);
        int maxTokens = random.nextInt(load.answerLow(), load.answerHigh() + 1);
        boolean cancels = random.nextDouble() < load.cancels();
        int cancelsAtToken = cancels ? random.nextInt(maxTokens) : PlannedRequest.NEVER_CANCELS;
        ScriptedRequest request =
                new ScriptedRequest(
                        "d" + scenario.seed() + "-" + name + "-" + number,
                        name,
                        name + "/" + session,
                        prefix == NO_PREFIX ? null : name + "/p" + prefix,
                        load.prefixTokens(),
                        prompt,
                        maxTokens,
                        load.timeout());
        int edge = random.nextInt(edges);
        return new PlannedRequest(at, classIndex, request, edge, cancelsAtToken);
    }

    private String drawPrompt(Scenario.Load load, int session, int prefix, int number) {
        StringBuilder prompt = new StringBuilder();
        int prefixTokens = prefix == NO_PREFIX ? 0 : load.prefixTokens();
        if (prefix != NO_PREFIX) {
            String guide = "guide " + load.requestClass() + " " + prefix + " ";
            fill(prompt, guide, prefixTokens);
        }
        int ownTokens = random.nextInt(load.promptLow(), load.promptHigh() + 1);
        String question = "session " + session + " question " + number + " ";
        fill(prompt, question, ownTokens + prefixTokens);
        return prompt.toString();
    }

    /** Appends a beginning, and filler up to so many tokens in all. */
    private static void fill(StringBuilder text, String beginning, int tokens) {
        text.append(beginning);
        int next = beginning.length();
        while (text.length() < tokens * BYTES_PER_TOKEN) {
            text.append(FILLER.charAt(next % FILLER.length()));
            next++;
        }
    }
}

package sorrelhoist.lab.judge;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges a scenario by what its clients and stand-ins saw on the wire, and by nothing that the
 * router says of itself. The five rules:
 *
 * <ol>
 *   <li>one final answer for each request taken by an edge that lives, before its client's time is
 *       up, and its tokens in order without gap;
 *   <li>no effect twice: classes that are unsafe run once, and no request has two attempts out;
 *   <li>nothing new to an engine later than the grace after the registry told that it drains or is
 *       gone;
 *   <li>no cold engine overloaded;
 *   <li>no state held with no attempt out for longer than the limit.
 * </ol>
 */
public final class Judge {
    private static final int ANSWER_RULE = 1;
    private static final int COLD_START_RULE = 4;

    /**
     * The limits of the rules. Times in microseconds.
     *
     * @param answerSlack by how much an answer may come after a client's time: the way back
     * @param drainGrace after which nothing new goes to an engine that drains
     * @param release within which a held state is used or released
     * @param wire what the network itself may take, on a machine as busy as this one
     * @param unsafe indices of classes that may run only once
     */
    public record Limits(
            long answerSlack, long drainGrace, long release, long wire, Set<Integer> unsafe) {}

    private final List<TraceEvent> events;
    private final Limits limits;
    private final RuleViolations violations = new RuleViolations();
    private final Map<String, RequestHistory> requests = new TreeMap<>();
    private final Outages outages = new Outages();
    private long startMicros;

    private Judge(List<TraceEvent> events, Limits limits) {
        this.events = events;
        this.limits = limits;
    }

    /**
     * Judges a scenario.
     *
     * @param events what was seen, by time
     * @param limits the limits of the rules
     * @return what was found
     */
    public static Verdict judge(List<TraceEvent> events, Limits limits) {
        return new Judge(events, limits).judge();
    }

    private Verdict judge() {
        events.forEach(this::read);
        requests.remove("");
        requests.values().removeIf(request -> request.sent() == null);
        AnswerRule answerRule = new AnswerRule(limits, outages, violations);
        requests.values().forEach(answerRule::check);
        EffectRule effectRule = new EffectRule(limits, violations);
        requests.values().forEach(effectRule::check);
        checkAttempts(new AttemptHistory(events));
        new DrainRule(limits, violations).check(events);
        VerdictBuilder verdict = new VerdictBuilder(startMicros);
        for (RequestHistory request : requests.values()) {
            verdict.add(request, request.isExcused(outages, limits.wire()));
        }
        return verdict.build(violations.lines());
    }

    private void checkAttempts(AttemptHistory attempts) {
        long endOfTrace = events.isEmpty() ? 0 : events.get(events.size() - 1).atMicros();
        SingleAttemptRule singleAttemptRule =
                new SingleAttemptRule(events, limits, outages, violations);
        attempts.byRequest().forEach(singleAttemptRule::check);
        StateRule stateRule = new StateRule(attempts, endOfTrace, limits, outages, violations);
        attempts.heldStates().forEach(stateRule::check);
    }

    private void read(TraceEvent event) {
        switch (event.name()) {
            case "sent" -> {
                if (startMicros == 0) {
                    startMicros = event.atMicros();
                    violations.startAt(startMicros);
                }
                request(event.text("req")).addSent(event);
            }
            case "final" -> readFinalAnswer(event);
            case "after" ->
                    violations.add(
                            ANSWER_RULE,
                            event,
                            "request "
                                    + event.text("req")
                                    + " was sent more after its final answer");
            case "run" -> request(event.text("client")).addRun(event);
            case "killed" -> outages.addKill(event, events);
            case "told" -> outages.addControlCommand(event);
            case "fell" ->
                    violations.add(
                            COLD_START_RULE,
                            event,
                            "engine " + event.source() + " was pushed over while cold");
            default -> {}
        }
    }

    private void readFinalAnswer(TraceEvent event) {
        String id = event.text("req");
        if (!request(id).addFinalAnswer(event)) {
            violations.add(ANSWER_RULE, event, "request " + id + " has a second final answer");
        }
    }

    private RequestHistory request(String id) {
        return requests.computeIfAbsent(id, key -> new RequestHistory());
    }
}

package sorrelhoist.lab.judge;

/**
 * Rule 1: one final answer for each request taken by an edge that lives, before its client's time
 * is up, and its tokens in order without gap.
 */
final class AnswerRule {
    private static final int RULE = 1;
    private final Judge.Limits limits;
    private final Outages outages;
    private final RuleViolations violations;

    AnswerRule(Judge.Limits limits, Outages outages, RuleViolations violations) {
        this.limits = limits;
        this.outages = outages;
        this.violations = violations;
    }

    void check(RequestHistory request) {
        boolean excused = request.isExcused(outages, limits.wire());
        if (!request.isAnswered()) {
            if (!excused) {
                violations.add(RULE, request.sent(), name(request) + " has no final answer");
            }
        } else if (!request.isCancelled() && !excused) {
            checkTime(request);
            checkTokens(request);
        }
    }

    private static String name(RequestHistory request) {
        return "request " + request.id();
    }

    private void checkTime(RequestHistory request) {
        TraceEvent answer = request.finalAnswer();
        String status = request.status();
        long allowed = request.sent().number("timeout") + limits.answerSlack();
        long took = answer.atMicros() - request.sent().atMicros();
        boolean mute = status.equals("GAVE_UP") || status.equals("BROKEN");
        if (mute || took > allowed) {
            String times = status + " after " + took / 1000 + " ms of " + allowed / 1000;
            violations.add(RULE, answer, name(request) + " was not answered in time: " + times);
        }
    }

    private void checkTokens(RequestHistory request) {
        TraceEvent answer = request.finalAnswer();
        String text = answer.text("text");
        String[] tokens = text.isBlank() ? new String[0] : text.trim().split(" ");
        for (int i = 0; i < tokens.length; i++) {
            if (!tokens[i].matches("[a-z]+" + i)) {
                String token = ": token " + i + " is \"" + tokens[i] + "\"";
                violations.add(RULE, answer, name(request) + token);
                return;
            }
        }
        long declared = answer.number("tokens");
        if (request.status().equals("OK") && declared != tokens.length) {
            String counts = " says " + declared + " tokens and has " + tokens.length;
            violations.add(RULE, answer, name(request) + counts);
        }
    }
}

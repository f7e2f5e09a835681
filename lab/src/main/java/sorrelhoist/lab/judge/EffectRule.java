package sorrelhoist.lab.judge;

/** Rule 2, first half: classes that are unsafe run once. */
final class EffectRule {
    private static final int RULE = 2;
    private final Judge.Limits limits;
    private final RuleViolations violations;

    EffectRule(Judge.Limits limits, RuleViolations violations) {
        this.limits = limits;
        this.violations = violations;
    }

    void check(RequestHistory request) {
        int requestClass = (int) request.sent().number("cls");
        int runs = request.runs().size();
        if (limits.unsafe().contains(requestClass) && runs > 1) {
            violations.add(
                    RULE,
                    request.runs().get(1),
                    "request " + request.id() + " of an unsafe class ran " + runs + " times");
        }
    }
}

package sorrelhoist.lab.soak;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetRules.RequestClass;

/** Draws the requests of clients: their class, budget, size and keys. */
final class RequestGenerator {
    private static final int LARGE_BODY_CHARACTERS = 240 << 10;
    private static final int MIN_BODY_CHARACTERS = 200;
    private static final int BODY_CHARACTERS_SPREAD = 3000;
    private static final int SHORT_BUDGET_ONE_IN = 10;
    private static final int BUDGET_SPREAD_MILLIS = 2500;
    private static final long LONGEST_MILLIS = 4000;
    private static final int SESSIONS = 50;
    private static final int PREFIXES = 5;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private final Random random;
    private final long longestDeadlineMillis;
    private double largeBodyShare;
    private long count;

    /**
     * Creates a generator.
     *
     * @param random draws everything
     * @param longestDeadlineMillis the longest that a client waits
     */
    RequestGenerator(Random random, long longestDeadlineMillis) {
        this.random = random;
        this.longestDeadlineMillis = longestDeadlineMillis;
    }

    /** Makes this share of the requests carry content near the protocol's limit. */
    void setLargeBodyShare(double share) {
        largeBodyShare = share;
    }

    /**
     * Draws a request.
     *
     * @param router the router's number
     * @param incarnation the number of the router's process
     * @param firstOnConnection whether its connection has carried none before
     */
    RequestTrace next(int router, int incarnation, boolean firstOnConnection) {
        RequestClass[] classes = RequestClass.values();
        RequestClass requestClass = classes[random.nextInt(classes.length)];
        long budgetMillis =
                random.nextInt(SHORT_BUDGET_ONE_IN) == 0
                        ? 150 + random.nextInt(400)
                        : longestDeadlineMillis
                                - random.nextInt(BUDGET_SPREAD_MILLIS)
                                        * longestDeadlineMillis
                                        / LONGEST_MILLIS;
        count++;
        String number = Long.toString(count, Character.MAX_RADIX);
        String unique = Long.toString(random.nextInt(1 << 24), Character.MAX_RADIX);
        return new RequestTrace(
                "r" + number + "x" + unique,
                requestClass,
                router,
                incarnation,
                TimeUnit.MILLISECONDS.toNanos(budgetMillis),
                firstOnConnection);
    }

    /** {@return a request as it goes over the wire; its size and keys are drawn anew} */
    String encode(RequestTrace request) {
        int characters =
                random.nextDouble() < largeBodyShare
                        ? LARGE_BODY_CHARACTERS
                        : MIN_BODY_CHARACTERS + random.nextInt(BODY_CHARACTERS_SPREAD);
        String body =
                "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + "x".repeat(characters)
                        + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: "
                + request.id
                + "\r\nX-Call-Class: "
                + request.requestClass.label()
                + "\r\nX-Route-Hash: s"
                + random.nextInt(SESSIONS)
                + "\r\nX-Budget-Ms: "
                + TimeUnit.NANOSECONDS.toMillis(request.budgetNanos)
                + "\r\nX-Call-Info: prefix=p"
                + random.nextInt(PREFIXES)
                + ",prompt_len="
                + body.length() / CHARACTERS_PER_TOKEN
                + ",prefix_len=40,max_out=100\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}

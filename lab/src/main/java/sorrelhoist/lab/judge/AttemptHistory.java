package sorrelhoist.lab.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The attempts that engines saw, and the prefill states that they held. */
final class AttemptHistory {
    /** One attempt at an engine. Times in microseconds. */
    static final class Attempt {
        private final String engine;
        private final long number;
        private final long from;
        private long to = Long.MAX_VALUE;
        private String outcome = "";

        private Attempt(TraceEvent start) {
            engine = start.source();
            number = start.number("attempt");
            from = start.atMicros();
        }

        String engine() {
            return engine;
        }

        long number() {
            return number;
        }

        long from() {
            return from;
        }

        /** {@return when it ended; MAX_VALUE if it did not} */
        long to() {
            return to;
        }

        boolean isCancelled() {
            return outcome.equals("cancelled");
        }
    }

    private final Map<String, List<Attempt>> byRequest = new HashMap<>();
    private final Map<String, Attempt> running = new HashMap<>();
    private final Map<String, TraceEvent> held = new HashMap<>();
    private final Map<String, TraceEvent> freed = new HashMap<>();

    AttemptHistory(List<TraceEvent> events) {
        events.forEach(this::add);
    }

    private void add(TraceEvent event) {
        switch (event.name()) {
            case "prefill", "decode" -> start(event);
            case "prefill_end", "decode_end" -> end(event);
            case "killed" -> endAllAt(event.text("target"), event.atMicros());
            case "start" -> endAllAt(event.source(), event.atMicros());
            case "held" -> held.put(event.text("state"), event);
            case "freed" -> freed.put(event.text("state"), event);
            default -> {}
        }
    }

    private static String key(TraceEvent event) {
        return event.text("req") + "#" + event.number("attempt");
    }

    private void start(TraceEvent event) {
        Attempt attempt = new Attempt(event);
        byRequest.computeIfAbsent(event.text("req"), key -> new ArrayList<>()).add(attempt);
        running.put(key(event), attempt);
    }

    private void end(TraceEvent event) {
        Attempt attempt = running.remove(key(event));
        if (attempt != null) {
            attempt.to = event.atMicros();
            attempt.outcome = event.text("how");
        }
    }

    private void endAllAt(String engine, long at) {
        running.values()
                .removeIf(
                        attempt -> {
                            boolean dead = attempt.engine.equals(engine);
                            attempt.to = dead ? Math.min(attempt.to, at) : attempt.to;
                            return dead;
                        });
    }

    /** {@return the attempts of each request, in order of their start} */
    Map<String, List<Attempt>> byRequest() {
        return byRequest;
    }

    List<Attempt> ofRequest(String request) {
        return byRequest.getOrDefault(request, List.of());
    }

    /** {@return since when states were held, by state} */
    Map<String, TraceEvent> heldStates() {
        return held;
    }

    /** {@return the event by which a state was freed, or null} */
    TraceEvent freed(String state) {
        return freed.get(state);
    }
}

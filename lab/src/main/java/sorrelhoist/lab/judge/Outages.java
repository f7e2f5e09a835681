package sorrelhoist.lab.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** When processes were dead and engines were cut off from the network. Times in microseconds. */
final class Outages {
    private static final long MICROS_PER_MILLI = 1000;
    private static final String EDGE_PREFIX = "edge";

    private record Interval(long from, long to) {
        boolean overlaps(long otherFrom, long otherTo) {
            return from <= otherTo && to >= otherFrom;
        }
    }

    private final Map<String, List<TraceEvent>> kills = new HashMap<>();
    private final Map<String, List<TraceEvent>> partitions = new HashMap<>();
    private final List<Interval> deadEngines = new ArrayList<>();

    /** Notes the kill of a process; an engine is dead until it starts again. */
    void addKill(TraceEvent kill, List<TraceEvent> events) {
        String target = kill.text("target");
        kills.computeIfAbsent(target, key -> new ArrayList<>()).add(kill);
        long neverRestarted =
                target.matches(EDGE_PREFIX + ".*|planner") ? kill.atMicros() : Long.MAX_VALUE;
        long restartedAt =
                events.stream()
                        .filter(event -> event.name().equals("start"))
                        .filter(
                                event ->
                                        event.source().equals(target)
                                                && event.atMicros() > kill.atMicros())
                        .mapToLong(TraceEvent::atMicros)
                        .findFirst()
                        .orElse(neverRestarted);
        deadEngines.add(new Interval(kill.atMicros(), restartedAt));
    }

    /** Notes a control command, of which only those matter that cut an engine off. */
    void addControlCommand(TraceEvent event) {
        if (event.text("command").startsWith("cut")) {
            partitions.computeIfAbsent(event.source(), key -> new ArrayList<>()).add(event);
        }
    }

    boolean wasKilled(String process, long from, long to) {
        return kills.getOrDefault(process, List.of()).stream()
                .anyMatch(kill -> kill.atMicros() >= from && kill.atMicros() <= to);
    }

    boolean wasAnyEdgeKilled(long from, long to) {
        return kills.keySet().stream()
                .filter(process -> process.startsWith(EDGE_PREFIX))
                .anyMatch(edge -> wasKilled(edge, from, to));
    }

    /** {@return when the process was first killed from that time on} */
    OptionalLong firstKill(String process, long from) {
        return kills.getOrDefault(process, List.of()).stream()
                .mapToLong(TraceEvent::atMicros)
                .filter(t -> t >= from)
                .min();
    }

    /** {@return whether an engine was cut off, so that nothing that was sent reached it} */
    boolean wasPartitioned(String engine, long from, long to) {
        return partitions.getOrDefault(engine, List.of()).stream()
                .anyMatch(cut -> cut.atMicros() <= to && partitionEnd(cut) >= from);
    }

    private static long partitionEnd(TraceEvent cut) {
        String millis = cut.text("command").replaceAll("[^0-9]", "");
        return cut.atMicros() + MICROS_PER_MILLI * Long.parseLong(millis);
    }

    /** {@return whether any engine was dead or cut off at a time between these} */
    boolean wasAnyEngineUnreachable(long from, long to) {
        return partitions.keySet().stream().anyMatch(engine -> wasPartitioned(engine, from, to))
                || deadEngines.stream().anyMatch(dead -> dead.overlaps(from, to));
    }
}

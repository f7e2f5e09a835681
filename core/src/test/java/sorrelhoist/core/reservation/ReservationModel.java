package sorrelhoist.core.reservation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model of one request with a prefill state at one engine and up to two decodes at others, and of
 * a table that receives the events that a router would report. The model tracks where messages
 * really are: a release takes effect only if no decode waits for the state, whatever the answer to
 * the release is.
 */
final class ReservationModel {
    private static final long STEP = 20_000;
    private static final ReservationKey KEY = ReservationTableTestSupport.KEY;
    private static final ReleasePolicy POLICY = ReservationTableTestSupport.POLICY;

    /** The events. An event that is not possible in the current state changes nothing. */
    enum Event {
        SENT,
        WRITTEN,
        ARRIVED,
        DELIVERED,
        STREAM_BEGAN,
        ENDED_BY_ENGINE,
        CONNECTION_LOST,
        GIVEN_UP,
        CLOSE_ARRIVED,
        ENGINE_HEARD,
        ENGINE_REMOVED,
        UNWANTED,
        RELEASE_ARRIVED,
        RELEASE_ANSWERED,
        TIME_PASSED
    }

    /** One decode, as seen by the router and by its engine. */
    private static final class Decode {
        final int number;
        boolean written;
        boolean arrived;
        boolean delivered;
        boolean endedForRouter;
        boolean endedForEngine;
        long endedAt;

        Decode(int number) {
            this.number = number;
        }

        String engine() {
            return "w" + number;
        }

        boolean waitsForState() {
            return arrived && !endedForEngine;
        }
    }

    private final List<Decode> decodes = new ArrayList<>();

    /** Releases in flight, with whether each has arrived. */
    private final Map<Long, Boolean> releases = new LinkedHashMap<>();

    private final ReservationTable table =
            new ReservationTable(POLICY, (hold, asked) -> "r0", new Releases(), 4);
    private boolean held = true;
    private boolean unwanted;
    private long now;

    ReservationModel() {
        table.prefillCompleted(KEY, Hold.ofPrefillState("r0", ""), now);
    }

    private final class Releases implements ReleaseClient {
        @Override
        public void release(ReleaseCall call) {
            releases.put(call.id(), false);
        }

        @Override
        public void abandon(long call) {
            // An abandoned call may still arrive; its answer is ignored.
        }

        @Override
        public void expired(ReservationKey key, String engine, int calls) {
            // Only logged.
        }

        @Override
        public void report(ReservationReport report) {
            // Only logged.
        }
    }

    private Decode running() {
        Decode last = decodes.isEmpty() ? null : decodes.get(decodes.size() - 1);
        return last == null || last.endedForRouter ? null : last;
    }

    /**
     * Applies an event.
     *
     * @return whether it was possible
     */
    boolean apply(Event event) {
        advanceTo(now + STEP);
        Decode running = running();
        return switch (event) {
            case SENT -> running == null && !unwanted && decodes.size() < 2 && send();
            case WRITTEN -> running != null && !running.written && write(running);
            case ARRIVED -> running != null && running.written && arrive(running);
            case DELIVERED -> running != null && running.arrived && deliver(running);
            case STREAM_BEGAN -> running != null && running.arrived && held && stream(running);
            case ENDED_BY_ENGINE ->
                    running != null && running.arrived && end(running, AttemptEnding.ANSWERED);
            case CONNECTION_LOST ->
                    running != null && running.written && end(running, AttemptEnding.LOST);
            case GIVEN_UP ->
                    running != null && running.written && end(running, AttemptEnding.GIVEN_UP);
            case CLOSE_ARRIVED -> decodes.stream().anyMatch(this::closeArrives);
            case ENGINE_HEARD -> decodes.stream().anyMatch(this::engineResponds);
            case ENGINE_REMOVED -> decodes.stream().anyMatch(this::engineIsRemoved);
            case UNWANTED -> !unwanted && running == null && markUnwanted();
            case RELEASE_ARRIVED -> releases.containsValue(false) && releaseArrives();
            case RELEASE_ANSWERED -> releases.containsValue(true) && releaseIsAnswered();
            case TIME_PASSED -> advanceTo(now + POLICY.idleMicros());
        };
    }

    private boolean send() {
        Decode decode = new Decode(decodes.size());
        decodes.add(decode);
        table.attemptSent(KEY, AttemptPurpose.DECODE_RESERVED, decode.engine(), now);
        table.attemptConnecting(KEY, now);
        return true;
    }

    private boolean write(Decode decode) {
        decode.written = true;
        table.attemptWritten(KEY, now);
        return true;
    }

    private boolean arrive(Decode decode) {
        boolean first = !decode.arrived;
        decode.arrived = true;
        return first;
    }

    private boolean deliver(Decode decode) {
        boolean first = !decode.delivered;
        decode.delivered = true;
        table.attemptDelivered(KEY, now);
        return first;
    }

    /** The engine fetches the state, and everything else that is held is released. */
    private boolean stream(Decode decode) {
        held = false;
        unwanted = true;
        decode.endedForRouter = true;
        decode.endedForEngine = true;
        table.streamStarted(KEY, now);
        return true;
    }

    private boolean end(Decode decode, AttemptEnding ending) {
        decode.endedForRouter = true;
        decode.endedAt = now;
        if (ending == AttemptEnding.ANSWERED) {
            decode.endedForEngine = true;
        } else if (table.isHeld(KEY)) {
            Hold.Certainty certainty =
                    decode.delivered ? Hold.Certainty.GIVEN_UP : Hold.Certainty.UNDELIVERED;
            table.addHold(KEY, Hold.ofQueuedDecode(decode.engine(), decode.number, certainty), now);
        }
        table.attemptEnded(KEY, ending, now);
        return true;
    }

    /** A close arrives within the settling time unless the network prevents it. */
    private boolean closeArrives(Decode decode) {
        boolean arrives = decode.endedForRouter && !decode.endedForEngine;
        decode.endedForEngine |= arrives;
        return arrives;
    }

    /**
     * An engine that responds after the end of an attempt is running, so it also learns of the end.
     */
    private boolean engineResponds(Decode decode) {
        if (!decode.endedForRouter || now - decode.endedAt < STEP) {
            return false;
        }
        decode.endedForEngine = true;
        table.engineResponded(decode.engine(), now);
        return true;
    }

    private boolean engineIsRemoved(Decode decode) {
        if (!decode.endedForRouter || decode.endedForEngine) {
            return false;
        }
        decode.endedForEngine = true;
        table.engineRemoved(decode.engine(), now);
        return true;
    }

    private boolean markUnwanted() {
        unwanted = true;
        table.markUnwanted(KEY, now);
        return true;
    }

    private boolean releaseArrives() {
        long call = first(false);
        releases.put(call, true);
        held &= decodes.stream().anyMatch(Decode::waitsForState);
        return true;
    }

    private boolean releaseIsAnswered() {
        long call = first(true);
        releases.remove(call);
        table.releaseCompleted(call, true, now);
        return true;
    }

    private long first(boolean arrived) {
        return releases.entrySet().stream()
                .filter(entry -> entry.getValue() == arrived)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private boolean advanceTo(long time) {
        while (table.nextDueMicros() <= time) {
            now = Math.max(now, table.nextDueMicros());
            table.advance(now);
        }
        now = time;
        return true;
    }

    /**
     * Ends the request; the engines run and respond, and releases arrive and are answered at once.
     *
     * @return whether the state was released within the limit and the table has removed it
     */
    boolean endsWithoutLeak() {
        Decode running = running();
        if (running != null) {
            end(running, running.written ? AttemptEnding.GIVEN_UP : AttemptEnding.NOT_SENT);
        }
        if (!unwanted) {
            markUnwanted();
        }
        advanceTo(now + STEP);
        decodes.forEach(decode -> decode.endedForEngine = true);
        decodes.forEach(decode -> table.engineResponded(decode.engine(), now));
        long due = now + POLICY.limitMicros();
        long lateArrivalsEnd = now + POLICY.expiryMicros() * 2;
        while (now < due) {
            answerReleases();
        }
        boolean releasedInTime = !held;
        while (now < lateArrivalsEnd) {
            answerReleases();
        }
        return releasedInTime && table.size() == 0;
    }

    private void answerReleases() {
        advanceTo(now + STEP);
        while (releases.containsValue(false)) {
            releaseArrives();
        }
        while (releases.containsValue(true)) {
            releaseIsAnswered();
        }
    }
}

package sorrelhoist.lab.soak;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.lab.soak.RequestTrace.StateTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** One attempt at a worker: it is rejected, or its prompt is prefilled, or its answer streamed. */
final class WorkerAttempt implements WorkerSlots.Waiter {
    private static final int PREFILL_MILLIS = 25;

    private static final long FIRST_EVENT_MILLIS = 25;
    private static final int EVENT_MILLIS = 40;
    private static final long SILENT_STREAM_MILLIS = 60_000;

    /** The platform frees what a stopped router left some seconds later. */
    private static final long MEMORY_RECLAIM_MILLIS = 5000;

    private static final int NEVER = -1;
    private static final int UNAVAILABLE = 503;
    private static final int GONE = 410;
    private static final int INTERNAL_ERROR = 500;
    private static final int TIME_OVER = 504;
    private static final String PREFILL_RESPONSE =
            "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}";
    private static final String NOISE_FOR_PREFILL = "\u0001\u0002 noise \r\n\r\n";
    private static final String NOISE_FOR_STREAM = "HTP/9 what\u0000\r\n\r\n";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\n"
                    + "Content-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_EVENTS =
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":"
                    + "{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String SECOND_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private final WorkerStandIn worker;
    private final WorkerConnection connection;
    private final RequestTrace request;
    private final AttemptTrace trace;
    private final WorkerSlots slots;
    private Misbehaviour misbehaviour = Misbehaviour.NONE;
    private boolean holdsSlot;
    private boolean streaming;
    private int events;
    private int breaksAtEvent = NEVER;

    WorkerAttempt(
            WorkerStandIn worker,
            WorkerConnection connection,
            RequestTrace request,
            AttemptTrace trace) {
        this.worker = worker;
        this.connection = connection;
        this.request = request;
        this.trace = trace;
        this.slots = worker.slots();
    }

    AttemptTrace trace() {
        return trace;
    }

    /** Starts it, once the worker does not hang. */
    void start() {
        if (worker.isHanging()) {
            runLater(EVENT_MILLIS, this::begin);
        } else {
            begin();
        }
    }

    private void begin() {
        misbehaviour = worker.drawMisbehaviour();
        if (worker.isDraining()) {
            reject(UNAVAILABLE);
        } else if (!endIfTooLate()) {
            run();
        }
    }

    private void run() {
        if (misbehaviour == Misbehaviour.ERROR) {
            answerError();
        } else if (misbehaviour == Misbehaviour.RESET_AFTER_REQUEST) {
            trace.waitEndedAt = System.nanoTime();
            connection.reset();
        } else if (!slots.enter(this)) {
            reject(UNAVAILABLE);
        }
    }

    @Override
    public void slotTaken() {
        holdsSlot = true;
        if (endIfTooLate()) {
            return;
        }
        if (worker.role == Role.READ) {
            int millis = PREFILL_MILLIS / 2 + random().nextInt(PREFILL_MILLIS);
            runLater(millis, this::completePrefill);
        } else {
            runLater(worker.drawQueueMillis(), this::fetchState);
        }
    }

    private void freeSlot() {
        if (holdsSlot) {
            holdsSlot = false;
            slots.free();
        }
    }

    /** Nobody waits for it any more. */
    void connectionEnded() {
        if (worker.cancelsQueuedAttempts()) {
            slots.leaveQueue(this);
        }
        if (streaming) {
            freeSlot();
        }
    }

    /** Ends it if its time is over or too little is left. {@return whether it did} */
    private boolean endIfTooLate() {
        long budget = TimeUnit.MILLISECONDS.toNanos(trace.budgetMillis);
        long left = trace.arrivedAt + budget - System.nanoTime();
        if (left < 0) {
            endOverdue();
            return true;
        }
        if (left < TimeUnit.MILLISECONDS.toNanos(worker.minMillisLeft())) {
            drop();
            return true;
        }
        return false;
    }

    /** Nobody needs it any more: it is rejected, or dropped without a word. It has not run. */
    private void endOverdue() {
        if (random().nextBoolean()) {
            reject(TIME_OVER);
        } else {
            drop();
        }
    }

    /** Ends it without a word: it has not run, and its connection stays open. */
    private void drop() {
        trace.rejected = true;
        trace.droppedAt = System.nanoTime();
        trace.waitEndedAt = Math.min(trace.waitEndedAt, trace.droppedAt);
        freeSlot();
    }

    private Random random() {
        return worker.random();
    }

    /** Runs a task later; while the worker hangs, not before it goes on. */
    private void runLater(long millis, Runnable task) {
        connection.schedule(
                () -> {
                    if (!worker.isAlive()) {
                        return;
                    }
                    if (!worker.isHanging()) {
                        task.run();
                    } else {
                        runLater(EVENT_MILLIS, task);
                    }
                },
                millis);
    }

    /** Holds the state of the prompt, also where nobody waits for it any more. */
    private void completePrefill() {
        StateTrace state = new StateTrace(worker.uid, System.nanoTime());
        state.whenReleased = this::freeSlot;
        request.states.add(state);
        connection.schedule(this::freeSlot, MEMORY_RECLAIM_MILLIS);
        if (connection.isClosed()) {
            return;
        }
        switch (misbehaviour) {
            case NOISE -> connection.write(NOISE_FOR_PREFILL);
            case SECOND_ANSWER -> connection.write(PREFILL_RESPONSE + PREFILL_RESPONSE);
            default -> write(PREFILL_RESPONSE);
        }
        connection.attemptEnded();
    }

    private void reject(int status) {
        trace.rejected = true;
        trace.waitEndedAt = Math.min(trace.waitEndedAt, System.nanoTime());
        connection.write(
                "HTTP/1.1 "
                        + status
                        + " Turned Away\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
        connection.attemptEnded();
        freeSlot();
    }

    private void answerError() {
        trace.waitEndedAt = System.nanoTime();
        connection.write("HTTP/1.1 " + INTERNAL_ERROR + " Failed\r\nContent-Length: 0\r\n\r\n");
        connection.attemptEnded();
    }

    /** A slot and memory are free; the attempt may be one that nobody waits for any more. */
    private void fetchState() {
        if (trace.waitEndedAt != RequestTrace.NEVER) {
            freeSlot();
            return;
        }
        if (endIfTooLate()) {
            return;
        }
        if (misbehaviour == Misbehaviour.STATE_UNREACHABLE) {
            reject(GONE);
            return;
        }
        trace.waitEndedAt = System.nanoTime();
        boolean fetched = request.releaseStates(trace.waitEndedAt);
        if (connection.isClosed()) {
            freeSlot();
            return;
        }
        if (fetched) {
            startStream();
        } else {
            reject(GONE);
        }
    }

    private void startStream() {
        streaming = true;
        events = 1 + random().nextInt(worker.maxEvents());
        List<Misbehaviour> breaking =
                List.of(Misbehaviour.SILENT_IN_STREAM, Misbehaviour.RESET_IN_STREAM);
        if (breaking.contains(misbehaviour)) {
            breaksAtEvent = random().nextInt(events);
        }
        Runnable first =
                misbehaviour == Misbehaviour.NOISE
                        ? () -> connection.write(NOISE_FOR_STREAM)
                        : () -> sendEvent(0);
        runLater(FIRST_EVENT_MILLIS, first);
    }

    private void sendEvent(int index) {
        if (connection.isClosed()) {
            return;
        }
        if (index == breaksAtEvent) {
            breakStream();
        } else if (index < events) {
            write((index == 0 ? STREAM_HEAD : "") + chunk(event()));
            int millis = EVENT_MILLIS / 2 + random().nextInt(EVENT_MILLIS);
            runLater(millis, () -> sendEvent(index + 1));
        } else {
            finishStream();
        }
    }

    private void breakStream() {
        if (misbehaviour == Misbehaviour.RESET_IN_STREAM) {
            connection.reset();
        } else {
            connection.schedule(connection::reset, SILENT_STREAM_MILLIS);
        }
    }

    private void finishStream() {
        trace.streamFinished = true;
        String last = chunk(LAST_EVENTS) + LAST_CHUNK;
        write(misbehaviour == Misbehaviour.SECOND_ANSWER ? last + SECOND_RESPONSE : last);
        connection.attemptEnded();
        freeSlot();
    }

    /** {@return an event that carries the time at which it is written} */
    private static String event() {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t="
                + System.nanoTime()
                + ";\"},\"finish_reason\":null}]}\n\n";
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private void write(String text) {
        if (misbehaviour == Misbehaviour.BYTE_BY_BYTE) {
            for (int i = 0; i < text.length(); i++) {
                connection.write(text.substring(i, i + 1));
            }
        } else {
            connection.write(text);
        }
    }
}

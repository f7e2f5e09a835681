package sorrelhoist.lab.soak;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The slots of a worker and the queue of attempts that wait for one. Both are bounded. A slot of a
 * reader is memory for one state, taken from the start of the read until the state is let go.
 * Confined to the worker's event loop.
 */
final class WorkerSlots {
    private final Queue<Waiter> queue = new ArrayDeque<>();
    private Capacity capacity;
    private int taken;

    /**
     * How much a worker can take.
     *
     * @param slots attempts that it works on at once
     * @param queueLength attempts that may wait for a slot
     */
    record Capacity(int slots, int queueLength) {}

    /** What waits for a slot. */
    interface Waiter {
        /** A slot is its own now, until it calls {@link WorkerSlots#free}. */
        void slotTaken();
    }

    WorkerSlots(Capacity capacity) {
        this.capacity = capacity;
    }

    /** Changes how much fits from now on; what is in already stays. */
    void setCapacity(Capacity next) {
        capacity = next;
        serveQueue();
    }

    /** Takes a slot, now or later. {@return whether it may wait for one: the queue is not full} */
    boolean enter(Waiter waiter) {
        if (queue.isEmpty() && taken < capacity.slots()) {
            taken++;
            waiter.slotTaken();
            return true;
        }
        if (queue.size() >= capacity.queueLength()) {
            return false;
        }
        queue.add(waiter);
        return true;
    }

    /** Takes one that waits out of the queue, if it is there. */
    void leaveQueue(Waiter waiter) {
        queue.remove(waiter);
    }

    /** Nothing waits any more. */
    void clearQueue() {
        queue.clear();
    }

    /** A slot is free again. */
    void free() {
        taken--;
        serveQueue();
    }

    private void serveQueue() {
        while (!queue.isEmpty() && taken < capacity.slots()) {
            taken++;
            queue.remove().slotTaken();
        }
    }
}

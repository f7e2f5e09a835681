package sorrelhoist.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Decode slots, with their memory, that routers reserved ahead of the decode request. */
final class SlotReservations {
    private record Reservation(int tokens, long reservedAtMicros) {}

    private final Map<String, Reservation> reservations = new LinkedHashMap<>();

    void reserve(String id, int tokens, long nowMicros) {
        reservations.put(id, new Reservation(tokens, nowMicros));
    }

    /** Ends a reservation, used or not. {@return whether there was one} */
    boolean remove(String id) {
        return reservations.remove(id) != null;
    }

    void expireOlderThan(long limitMicros) {
        reservations.values().removeIf(r -> r.reservedAtMicros() < limitMicros);
    }

    int size() {
        return reservations.size();
    }

    /** {@return the memory that is reserved, in tokens} */
    long tokens() {
        return reservations.values().stream().mapToLong(Reservation::tokens).sum();
    }
}

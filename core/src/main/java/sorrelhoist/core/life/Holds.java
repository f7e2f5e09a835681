package sorrelhoist.core.life;

import java.util.function.Consumer;
import sorrelhoist.Routing.Outcome;

/**
 * What is pinned at engines for requests: the state that a read left, and a place held ahead at a writer. Each is taken
 * by a stream that begins, or let go by an order; nothing is forgotten while an engine may hold it.
 */
final class Holds {
    private final Consumer<Order> carrier;

    Holds(Consumer<Order> carrier) {
        this.carrier = carrier;
    }

    /** A read ended well: its state waits there. */
    void read(Life life, Life.Attempt a, String state) {
        life.state = new Held(a.engine, state);
    }

    /** A place was held ahead. */
    void place(Life life, String engine, String place) {
        life.placeEngine = engine;
        life.place = place;
    }

    /** A place was held for a request that cannot use it any more. */
    void unwanted(String engine, String place) {
        carrier.accept(new Order.Release("", engine, "", place, 0));
    }

    /** A stream began: its writer has fetched the state and used the place. */
    void taken(Life life) {
        life.state = null;
        life.placeEngine = null;
        life.place = "";
    }

    /** The engine that should hold the state does not. */
    void gone(Life life) {
        life.state = null;
    }

    /** A read was given up on that may end there unheard of: what it leaves must not stay pinned. */
    void leftBehind(Life life, Life.Attempt a, Outcome outcome) {
        boolean neverRan = outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED;
        if (!neverRan) {
            carrier.accept(new Order.Release(life.name, a.engine, "", "", a.id.number()));
        }
    }

    /** The prompt is read anew: a state of an earlier read would be forgotten, and stay pinned. */
    void readAnew(Life life) {
        if (life.state != null) {
            carrier.accept(new Order.Release(life.name, life.state.engine(), life.state.state(), "", 0));
            life.state = null;
        }
    }

    /** Lets go of all that is held for a request, unless an attempt is about to take it. */
    void release(Life life) {
        if (life == null || life.out != null) {
            return;
        }
        readAnew(life);
        releasePlace(life);
    }

    /** Lets go of a place that is held elsewhere. {@return the place to use at this engine, or empty} */
    String placeAt(Life life, String engine) {
        if (engine.equals(life.placeEngine)) {
            return life.place;
        }
        releasePlace(life);
        return "";
    }

    private void releasePlace(Life life) {
        if (life.placeEngine != null) {
            carrier.accept(new Order.Release(life.name, life.placeEngine, "", life.place, 0));
            life.placeEngine = null;
            life.place = "";
        }
    }

    static boolean any(Life life) {
        return life.state != null || life.placeEngine != null;
    }
}

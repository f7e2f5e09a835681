package sorrelhoist.core.record;

import sorrelhoist.routing.Routing.Action;
import sorrelhoist.routing.Routing.Arrived;
import sorrelhoist.routing.Routing.AttemptEnded;
import sorrelhoist.routing.Routing.Cancel;
import sorrelhoist.routing.Routing.ClientGone;
import sorrelhoist.routing.Routing.Event;
import sorrelhoist.routing.Routing.Fail;
import sorrelhoist.routing.Routing.Move;
import sorrelhoist.routing.Routing.PlaceAnswered;
import sorrelhoist.routing.Routing.Refuse;
import sorrelhoist.routing.Routing.Release;
import sorrelhoist.routing.Routing.Reserve;
import sorrelhoist.routing.Routing.Send;
import sorrelhoist.routing.Routing.StreamStarted;
import sorrelhoist.routing.Routing.Timer;
import sorrelhoist.routing.Routing.TimerFired;

/** Finds the request that an event or an action is about, by its number at the decisions. */
final class RequestIds {
    /** Stands for no request. */
    static final long NONE = -1;

    private RequestIds() {}

    /** {@return the request's number, or {@link #NONE}; timers carry it as their token} */
    static long of(Event event) {
        if (event instanceof Arrived arrived) {
            return arrived.id();
        } else if (event instanceof AttemptEnded ended) {
            return ended.id();
        } else if (event instanceof StreamStarted started) {
            return started.id();
        } else if (event instanceof PlaceAnswered answered) {
            return answered.id();
        } else if (event instanceof TimerFired fired) {
            return fired.token();
        } else if (event instanceof ClientGone gone) {
            return gone.id();
        }
        return NONE;
    }

    /** {@return the request's number, or {@link #NONE}; timers carry it as their token} */
    static long of(Action action) {
        if (action instanceof Send send) {
            return send.id();
        } else if (action instanceof Reserve reserve) {
            return reserve.id();
        } else if (action instanceof Release release) {
            return release.id();
        } else if (action instanceof Refuse refuse) {
            return refuse.id();
        } else if (action instanceof Fail fail) {
            return fail.id();
        } else if (action instanceof Cancel cancel) {
            return cancel.id();
        } else if (action instanceof Move move) {
            return move.id();
        } else if (action instanceof Timer timer) {
            return timer.token();
        }
        return NONE;
    }
}

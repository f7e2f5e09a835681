package sorrelhoist.core.record;

import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Move;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/** Finds the routing policy's number of the request that an event or an action refers to. */
final class RequestIds {
    /** Returned if an event or an action refers to no request. */
    static final long NONE = -1;

    private RequestIds() {}

    /**
     * {@return the request's number, or {@link #NONE}; for a timer its token, which is the number
     * of the request unless the timer belongs to the routing policy itself}
     */
    static long of(Event event) {
        if (event instanceof Arrived arrived) {
            return arrived.id();
        } else if (event instanceof AttemptEnded ended) {
            return ended.id();
        } else if (event instanceof StreamStarted started) {
            return started.id();
        } else if (event instanceof DeliveryUnconfirmed unconfirmed) {
            return unconfirmed.id();
        } else if (event instanceof PlaceAnswered answered) {
            return answered.id();
        } else if (event instanceof TimerFired fired) {
            return fired.token();
        } else if (event instanceof ClientGone gone) {
            return gone.id();
        }
        return NONE;
    }

    /**
     * {@return the request's number, or {@link #NONE}; for a timer its token, which is the number
     * of the request unless the timer belongs to the routing policy itself}
     */
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

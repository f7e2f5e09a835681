package sorrelhoist.core.reservation;

import java.util.Optional;

/**
 * Decides what proves that a hold is gone. No other class makes this decision. The acknowledgement
 * of a release is no proof by itself: an engine answers a release whether or not it released
 * anything, and it releases nothing that a queued attempt waits for. Each proof therefore has a
 * precondition.
 *
 * <table>
 *   <caption>Proofs</caption>
 *   <tr><th>event</th><th>precondition</th><th>if the precondition is not met</th></tr>
 *   <tr><td>a stream started</td><td>the hold existed by then: it was consumed, or was released
 *     with what was consumed</td><td>the hold for a state that a lost or abandoned prefill may
 *     create later stays open</td></tr>
 *   <tr><td>a release was answered</td><td>no decode of the request was at an engine between the
 *     call and its answer</td><td>all holds stay open; they are released again when the decode has
 *     ended, or after {@link ReleasePolicy#renewMicros()} if it is still in flight, as it may never
 *     have arrived</td></tr>
 *   <tr><td>a release was answered</td><td>the hold had settled when the call was sent: the close
 *     of its attempt's connection has arrived by then if its engine is running</td><td>the hold is
 *     released again once it has settled</td></tr>
 *   <tr><td>a release was answered</td><td>the engine of the abandoned attempt responded after the
 *     end of the attempt</td><td>the hold is released repeatedly, each time within the limit: an
 *     engine behind a network partition continues with the requests that it has</td></tr>
 *   <tr><td>a release was answered</td><td>when the call was sent, {@link
 *     ReleasePolicy#lateArrivalMicros()} had passed since that engine responded</td><td>the hold is
 *     released again: the attempt may be queued there, or its own connection may be
 *     silent</td></tr>
 *   <tr><td>an engine left the endpoint list</td><td>none: this is no proof</td><td>the hold no
 *     longer waits for the engine to respond; it is released for another {@link
 *     ReleasePolicy#removedEngineMicros()}, as a stopped engine may be removed from the list and
 *     continue later</td></tr>
 * </table>
 */
final class HoldProof {
    private HoldProof() {}

    /**
     * {@return the hold if it may still exist after a stream of its request started; otherwise
     * empty}
     */
    static Optional<OpenHold> afterStream(OpenHold open, long now) {
        return open.hold().isPrefillState() && open.mayOutlive(now)
                ? Optional.of(open)
                : Optional.empty();
    }

    /**
     * {@return the hold if it may still exist after a release was answered while no decode was in
     * flight; otherwise empty}
     *
     * @param open the hold
     * @param policy when it is released again
     * @param madeAt when the release was sent, in microseconds
     */
    static Optional<OpenHold> afterRelease(OpenHold open, ReleasePolicy policy, long madeAt) {
        if (open.releaseDueAt() > madeAt) {
            return Optional.of(open);
        }
        return open.mayOutlive(madeAt)
                ? Optional.of(open.released(policy, madeAt))
                : Optional.empty();
    }
}

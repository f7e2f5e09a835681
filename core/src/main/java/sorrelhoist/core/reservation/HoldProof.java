package sorrelhoist.core.reservation;

import java.util.Optional;

/**
 * Decides what proves that a hold is gone: the one place that does. An acknowledgement is no proof
 * by itself. An engine answers a release whether or not it let go of anything, and it lets go of
 * nothing that an attempt waits for; so each proof has a precondition.
 *
 * <table>
 *   <caption>Proofs</caption>
 *   <tr><th>proof</th><th>precondition</th><th>where it does not hold</th></tr>
 *   <tr><td>a stream began</td><td>the hold had come by then: it was taken, or went with what was
 *     taken</td><td>what a given-up prefill may leave later stays open</td></tr>
 *   <tr><td>a release was answered</td><td>no decode of the request was with an engine between the
 *     call and its answer</td><td>all holds stay open; they are released again when the decode has
 *     ended, or later if nothing shows that it arrived</td></tr>
 *   <tr><td>a release was answered</td><td>the hold had settled when the call was made: the close
 *     of its attempt's connection has arrived by then where its engine runs</td><td>the hold is
 *     released again once it has settled</td></tr>
 *   <tr><td>a release was answered</td><td>the engine of the given-up attempt was heard after its
 *     end</td><td>the hold is released again and again, within the limit each time: behind a cut
 *     an engine goes on with what it has</td></tr>
 *   <tr><td>a release was answered</td><td>some limits were over when the call was made since that
 *     engine was heard</td><td>the hold is released again: the attempt may have to wait there, or
 *     its own connection may be silent</td></tr>
 *   <tr><td>an engine left the endpoint list</td><td>none: it is no proof</td><td>the engine need
 *     not be heard any more; the hold is released for some seconds more, as a stopped engine may be
 *     taken off the list and go on</td></tr>
 * </table>
 */
final class HoldProof {
    private HoldProof() {}

    /** {@return what is left of a hold after a stream of its request began} */
    static Optional<OpenHold> afterStream(OpenHold open, long now) {
        return open.hold().isState() && open.mayOutlive(now) ? Optional.of(open) : Optional.empty();
    }

    /**
     * {@return what is left of a hold after a release was answered that no decode was out for}
     *
     * @param open the hold
     * @param policy when it is released again
     * @param madeAt when the release was sent
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

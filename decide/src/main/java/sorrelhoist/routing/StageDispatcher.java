package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingSettings.Role;

/** Dispatches a request to its next stage: to a prefill, a decode or a mixed endpoint. */
final class StageDispatcher {
    /** Interval between searches for a decode endpoint while a state is kept. */
    private static final long DECODE_POLL_MICROS = 20_000;

    /**
     * Share of the reservation limit for which a state may be kept; the rest is a margin for late
     * timers.
     */
    private static final double MAX_RESERVATION_SHARE = 0.5;

    private final RoutingContext context;
    private final CandidateFilter filter;
    private final AdmissionController admission;
    private final PrefillSelector prefillSelector;
    private final DecodeSelector decodeSelector;
    private final AttemptSender sender;
    private final RequestConclusion conclusion;

    StageDispatcher(
            RoutingContext context,
            CandidateFilter filter,
            AdmissionController admission,
            PrefillSelector prefillSelector,
            DecodeSelector decodeSelector,
            AttemptSender sender,
            RequestConclusion conclusion) {
        this.context = context;
        this.filter = filter;
        this.admission = admission;
        this.prefillSelector = prefillSelector;
        this.decodeSelector = decodeSelector;
        this.sender = sender;
        this.conclusion = conclusion;
    }

    /**
     * Dispatches a request that has no attempt in flight to its next stage, or ends it with a final
     * answer at once.
     */
    void advance(TrackedRequest request) {
        int attemptsLeft = context.settings().capabilities().maxAttempts() - request.attempts;
        if (context.now() >= request.deadline) {
            giveUpAtDeadline(request);
        } else if (attemptsLeft < 1) {
            Kind kind = request.rejected ? Kind.TOLD_FULL : Kind.ATTEMPTS;
            int attemptsMade = request.attempts;
            conclusion.giveUp(
                    request, Reason.compared(kind, attemptsMade, attemptsMade + attemptsLeft));
        } else if (request.prefilledAt != null) {
            sendToDecode(request);
        } else {
            sendToPrefill(request, attemptsLeft);
        }
    }

    /** Ends a request whose deadline has passed. */
    void giveUpAtDeadline(TrackedRequest request) {
        long elapsed = context.now() - request.arrivedAt;
        long budget = request.deadline - request.arrivedAt;
        conclusion.giveUp(request, Reason.compared(Kind.DEADLINE, elapsed, budget));
    }

    private void sendToPrefill(TrackedRequest request, int attemptsLeft) {
        // A prefill requires a second attempt for the decode.
        boolean canSplit = attemptsLeft > 1;
        List<Endpoint> prefill = canSplit ? filter.candidates(Role.READ, request) : List.of();
        List<Endpoint> decode = filter.candidates(Role.WRITE, request);
        List<Endpoint> mixed = filter.candidates(Role.BOTH, request);
        Selection selected = prefill.isEmpty() ? null : prefillSelector.select(request, prefill);
        Reason rejection =
                request.attempts == 0
                        ? admissionRejection(request, prefill, selected, decode)
                        : null;
        if (rejection != null) {
            conclusion.giveUp(request, rejection);
        } else if (decodeSelector.goesToMixed(prefill, decode, mixed)) {
            sender.sendDecode(request, decodeSelector.lighterOfTwo(mixed).as(Kind.MIXED));
        } else if (selected != null) {
            Selection probe = filter.recoveryProbe(Role.READ, request);
            sender.sendPrefill(request, probe != null ? probe : selected);
        } else if (context.settings().capabilities().decodersMayPrefill() && !decode.isEmpty()) {
            // A decode endpoint is slow at a prefill and slows its other requests, but the request
            // is answered.
            Selection decodeWithPrefill = decodeSelector.lighterOfTwo(decode).as(Kind.WRITER_READS);
            sender.sendDecode(request, decodeWithPrefill);
        } else {
            Role lacking = canSplit ? Role.READ : Role.WRITE;
            conclusion.giveUp(request, Reason.of(filter.unavailability(lacking, request)));
        }
    }

    private Reason admissionRejection(
            TrackedRequest request,
            List<Endpoint> prefill,
            Selection selected,
            List<Endpoint> decode) {
        Endpoint endpoint = selected == null ? null : selected.endpoint();
        return admission.rejection(request, prefill, endpoint, decode);
    }

    private void sendToDecode(TrackedRequest request) {
        List<Endpoint> decodeOnly = filter.candidates(Role.WRITE, request);
        List<Endpoint> decode =
                decodeOnly.isEmpty() ? filter.candidates(Role.BOTH, request) : decodeOnly;
        Selection probe = filter.recoveryProbe(Role.WRITE, request);
        Selection selected =
                probe != null ? probe : decodeSelector.select(request.prefilledAt, decode);
        if (selected != null) {
            sender.sendDecode(request, selected);
        } else if (context.now() + DECODE_POLL_MICROS < stateDeadline(request)) {
            context.emit(new Timer(DECODE_POLL_MICROS, request.id));
        } else {
            giveUpWithoutDecode(request);
        }
    }

    private void giveUpWithoutDecode(TrackedRequest request) {
        Kind unavailability = filter.unavailability(Role.WRITE, request);
        Kind kind = unavailability == Kind.NO_SERVER ? Kind.HELD_TOO_LONG : unavailability;
        long idle = context.now() - request.stateIdleSince;
        double limit = stateDeadline(request) - request.stateIdleSince;
        conclusion.giveUp(request, Reason.compared(kind, idle, limit));
    }

    /**
     * {@return the time until which a request's state may be kept at its prefill endpoint, in
     * microseconds}
     */
    double stateDeadline(TrackedRequest request) {
        long limit = context.settings().serverLimits().reservationLimitMicros();
        return request.stateIdleSince + MAX_RESERVATION_SHARE * limit;
    }
}

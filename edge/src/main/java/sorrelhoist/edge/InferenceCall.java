package sorrelhoist.edge;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.request.RequestResult;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.routing.Reason;

/**
 * A client's call of an inference method. Its state belongs to the call's network thread, to which
 * tokens and results from the router's thread are handed over. Subclasses send the response as one
 * message or as a stream.
 */
abstract class InferenceCall implements ServerCall.Listener, ResponseListener {
    private static final Pattern ATTEMPT_COUNT = Pattern.compile("[0-9]{1,6}");
    private static final long MICROS_PER_MILLI = 1000;

    final ServerCall call;
    final RouterEventLoop router;
    final String model;
    private final RequestParser parser;
    private final Tracing tracing;
    private String requestId = "";
    private RequestTrace trace = RequestTrace.NONE;
    private boolean submitted;
    private boolean ended;

    InferenceCall(ServerCall call, RequestParser parser, RouterEventLoop router, Tracing tracing) {
        this.call = call;
        this.parser = parser;
        this.router = router;
        this.tracing = tracing;
        this.model = parser.model();
    }

    /** Sends a piece of the response text, or buffers it until the end. */
    abstract void sendText(String text, Runnable onConsumed);

    /** Sends the message that ends a complete response. */
    abstract void sendEnd(int tokens);

    /** Returns the client's id of the request; empty if it gave none. */
    final String requestId() {
        return requestId;
    }

    @Override
    public void onMessage(byte[] message) {
        if (submitted) {
            end(invalidArgument("one request a call: open another call for the next"));
            router.clientDisconnected(this);
            return;
        }
        submitted = true;
        try {
            InferRequest request = InferRequest.parse(message);
            requestId = request.id();
            int previousAttempts = previousAttempts();
            trace = tracing.startRequest(call.headers(), previousAttempts);
            InferenceRequest parsed =
                    parser.parse(request, call.timeoutMicros(), previousAttempts, trace);
            router.submit(parsed, this);
        } catch (ProtoException e) {
            end(invalidArgument("the request is no ModelInferRequest: " + e.getMessage()));
        } catch (InvalidRequestException e) {
            end(e.status());
        }
    }

    /**
     * Returns the number of attempts that the client's gRPC library has made before; 0 if unknown.
     */
    private int previousAttempts() {
        String count = call.headers().get(CallMetadata.PREVIOUS_ATTEMPTS, "0");
        return ATTEMPT_COUNT.matcher(count).matches() ? Integer.parseInt(count) : 0;
    }

    private static Status invalidArgument(String problem) {
        return new Status(StatusCode.INVALID_ARGUMENT, problem);
    }

    @Override
    public void onHalfClose() {
        if (!submitted) {
            end(invalidArgument("the request's message is missing"));
        }
    }

    @Override
    public void onCancel(String reason) {
        if (!ended) {
            ended = true;
            tracing.requestEnded(trace, Tracing.REQUEST_CANCELLED, null);
            router.clientDisconnected(this);
        }
    }

    @Override
    public void onToken(int index, String text, Runnable onConsumed) {
        call.executor()
                .execute(
                        () -> {
                            if (!ended) {
                                sendText(text, onConsumed);
                            }
                        });
    }

    @Override
    public void onResult(RequestResult result) {
        call.executor()
                .execute(
                        () -> {
                            if (!ended) {
                                endWithResult(result);
                            }
                        });
    }

    private void endWithResult(RequestResult result) {
        if (result instanceof RequestResult.Served served) {
            sendEnd(served.tokens());
            end(Status.OK);
        } else if (result instanceof RequestResult.Refused rejected) {
            endRejected(rejected);
        } else if (result instanceof RequestResult.Stalled) {
            ended = true;
            tracing.requestEnded(trace, Tracing.REQUEST_STALLED, null);
            call.abort();
        } else if (result instanceof RequestResult.Failed failed) {
            StatusCode code =
                    failed.deadlineExceeded()
                            ? StatusCode.DEADLINE_EXCEEDED
                            : StatusCode.UNAVAILABLE;
            end(new Status(code, failed.message()), null, failed.reason());
        }
    }

    private void endRejected(RequestResult.Refused rejected) {
        long retryAfterMicros = rejected.retryAfterMicros();
        Headers trailers = null;
        if (retryAfterMicros > 0) {
            long millis = (retryAfterMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
            trailers = new Headers().add(CallMetadata.RETRY_PUSHBACK_MILLIS, Long.toString(millis));
        }
        String message = ReasonFormatter.describeRejection(rejected.reason(), retryAfterMicros);
        end(new Status(StatusCode.RESOURCE_EXHAUSTED, message), trailers, rejected.reason());
    }

    private void end(Status status) {
        end(status, null, null);
    }

    private void end(Status status, Headers trailers, Reason reason) {
        if (!ended) {
            ended = true;
            String outcome = status.isOk() ? Tracing.REQUEST_SERVED : status.code().toString();
            tracing.requestEnded(trace, outcome, reason);
            call.close(status, trailers);
        }
    }

    /** Returns the parameters of the message that ends a complete response. */
    static Map<String, Parameter> finalParameters(int tokens) {
        Map<String, Parameter> parameters = new LinkedHashMap<>();
        parameters.put(InferResponse.FINAL_RESPONSE, new Parameter(true));
        parameters.put(InferResponse.OUTPUT_TOKENS, new Parameter((long) tokens));
        return parameters;
    }
}

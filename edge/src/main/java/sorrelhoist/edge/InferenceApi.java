package sorrelhoist.edge;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.request.RequestResult;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.inference.ModelMessages;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.routing.Reason;

/** The Open Inference Protocol and gRPC's health protocol, as clients see them. */
final class InferenceApi {
    /** Bytes waiting for a client above which its engine gets no more credit. */
    private static final int HIGH_MARK = 16 << 10;

    private final EdgeSettings settings;
    private final Requests requests;
    private final RouterLoop loop;
    private final Tracing tracing;
    private final BooleanSupplier serving;

    InferenceApi(EdgeSettings settings, RouterLoop loop, Tracing tracing, BooleanSupplier serving) {
        this.settings = settings;
        this.requests = new Requests(settings);
        this.loop = loop;
        this.tracing = tracing;
        this.serving = serving;
    }

    GrpcServer server(int maxMessage) {
        String s = ModelMessages.SERVICE;
        return new GrpcServer(maxMessage)
                .addUnaryMethod(
                        s + "ServerLive",
                        (call, m) -> answer(call, ModelMessages.booleanResponse(true)))
                .addUnaryMethod(
                        s + "ServerReady",
                        (call, m) ->
                                answer(call, ModelMessages.booleanResponse(serving.getAsBoolean())))
                .addUnaryMethod(
                        s + "ModelReady",
                        (call, m) ->
                                ofModel(
                                        call,
                                        m,
                                        ModelMessages.booleanResponse(serving.getAsBoolean())))
                .addUnaryMethod(
                        s + "ServerMetadata",
                        (call, m) ->
                                answer(call, ModelMessages.serverMetadata("sorrelhoist", "0.2.0")))
                .addUnaryMethod(
                        s + "ModelMetadata",
                        (call, m) ->
                                ofModel(call, m, ModelMessages.modelMetadata(settings.model())))
                .addMethod(s + "ModelInfer", call -> new Whole(call))
                .addMethod(s + "ModelStreamInfer", call -> new Streamed(call))
                .addUnaryMethod(ModelMessages.HEALTH + "Check", this::health)
                .addMethod(ModelMessages.HEALTH + "Watch", call -> new Watch(call));
    }

    private static void answer(ServerCall call, byte[] message) {
        call.send(message);
        call.close(Status.OK, null);
    }

    private void ofModel(ServerCall call, byte[] request, byte[] message) {
        try {
            String name = ModelMessages.parseName(request);
            if (name.equals(settings.model())) {
                answer(call, message);
            } else {
                call.close(
                        new Status(
                                StatusCode.NOT_FOUND,
                                "no model \"" + name + "\": ask for \"" + settings.model() + "\""),
                        null);
            }
        } catch (ProtoException e) {
            call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
        }
    }

    private int status() {
        return serving.getAsBoolean() ? ModelMessages.SERVING : ModelMessages.NOT_SERVING;
    }

    private void health(ServerCall call, byte[] request) {
        try {
            String service = ModelMessages.parseName(request);
            if (service.isEmpty() || ModelMessages.SERVICE.equals("/" + service + "/")) {
                answer(call, ModelMessages.healthCheckResponse(status()));
            } else {
                call.close(
                        new Status(StatusCode.NOT_FOUND, "no service \"" + service + "\""), null);
            }
        } catch (ProtoException e) {
            call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
        }
    }

    /**
     * Tells the health now and whenever it changes; looks once a second, which is soon enough for a
     * balancer.
     */
    private final class Watch implements ServerCall.Listener, Runnable {
        private final ServerCall call;
        private int told = -1;

        Watch(ServerCall call) {
            this.call = call;
        }

        @Override
        public void onMessage(byte[] message) {
            run();
        }

        @Override
        public void run() {
            if (call.isClosed()) {
                return;
            }
            int now = status();
            if (now != told) {
                told = now;
                call.send(ModelMessages.healthCheckResponse(now));
            }
            call.executor().schedule(this, 1, java.util.concurrent.TimeUnit.SECONDS);
        }
    }

    /** A client's call, on its network thread; what comes from the router hops here. */
    private abstract class Asked implements ServerCall.Listener, Client {
        final ServerCall call;
        String id = "";
        private Object trace;
        private boolean submitted;
        private boolean over;

        Asked(ServerCall call) {
            this.call = call;
        }

        @Override
        public void onMessage(byte[] message) {
            if (submitted) {
                end(
                        new Status(
                                StatusCode.INVALID_ARGUMENT,
                                "one request a call: open another call for the next"),
                        null);
                loop.gone(this);
                return;
            }
            submitted = true;
            try {
                InferRequest request = InferRequest.parse(message);
                id = request.id();
                int before = previousAttempts();
                trace = tracing.request(call.headers(), before);
                InferenceRequest asked =
                        requests.call(request, call.timeoutMicros(), before, trace);
                loop.submit(asked, this);
            } catch (ProtoException e) {
                end(
                        new Status(
                                StatusCode.INVALID_ARGUMENT,
                                "the request is no ModelInferRequest: " + e.getMessage()),
                        null);
            } catch (Requests.Bad e) {
                end(e.status(), null);
            }
        }

        @Override
        public void onHalfClose() {
            if (!submitted) {
                end(
                        new Status(StatusCode.INVALID_ARGUMENT, "the request's message is missing"),
                        null);
            }
        }

        @Override
        public void onCancel(String why) {
            if (!over) {
                over = true;
                tracing.requestEnded(trace, "Cancelled", null);
                loop.gone(this);
            }
        }

        private void end(Status status, Headers trailers) {
            end(status, trailers, null);
        }

        private void end(Status status, Headers trailers, Reason why) {
            if (!over) {
                over = true;
                tracing.requestEnded(
                        trace, status.isOk() ? "Served" : status.code().toString(), why);
                call.close(status, trailers);
            }
        }

        /** How often the client's library has tried before, where it says so. */
        private int previousAttempts() {
            String said = call.headers().get("grpc-previous-rpc-attempts", "0");
            return said.matches("[0-9]{1,6}") ? Integer.parseInt(said) : 0;
        }

        abstract void give(String text, Runnable credit);

        abstract void whole(int tokens);

        @Override
        public void token(int index, String text, Runnable credit) {
            call.executor()
                    .execute(
                            () -> {
                                if (!over) {
                                    give(text, credit);
                                }
                            });
        }

        @Override
        public void finish(RequestResult answer) {
            call.executor()
                    .execute(
                            () -> {
                                if (over) {
                                    return;
                                }
                                if (answer instanceof RequestResult.Served s) {
                                    whole(s.tokens());
                                    end(Status.OK, null);
                                } else if (answer instanceof RequestResult.Refused r) {
                                    Headers hint =
                                            r.retryAfterMicros() <= 0
                                                    ? null
                                                    : new Headers()
                                                            .add(
                                                                    "grpc-retry-pushback-ms",
                                                                    Long.toString(
                                                                            (r.retryAfterMicros()
                                                                                            + 999)
                                                                                    / 1000));
                                    end(
                                            new Status(
                                                    StatusCode.RESOURCE_EXHAUSTED,
                                                    ReasonFormatter.describeRejection(
                                                            r.reason(), r.retryAfterMicros())),
                                            hint,
                                            r.reason());
                                } else if (answer instanceof RequestResult.Stalled) {
                                    over = true;
                                    tracing.requestEnded(trace, "Stalled", null);
                                    call.abort();
                                } else if (answer instanceof RequestResult.Failed f) {
                                    end(
                                            new Status(
                                                    f.deadlineExceeded()
                                                            ? StatusCode.DEADLINE_EXCEEDED
                                                            : StatusCode.UNAVAILABLE,
                                                    f.message()),
                                            null,
                                            f.reason());
                                }
                            });
        }

        Map<String, Parameter> closing(int tokens) {
            Map<String, Parameter> p = new LinkedHashMap<>();
            p.put(InferResponse.FINAL_RESPONSE, new Parameter(true));
            p.put(InferResponse.OUTPUT_TOKENS, new Parameter((long) tokens));
            return p;
        }
    }

    /** ModelStreamInfer: one message a token, and a last one that is marked. */
    private final class Streamed extends Asked {
        private final ArrayDeque<Runnable> owed = new ArrayDeque<>();

        Streamed(ServerCall call) {
            super(call);
        }

        @Override
        void give(String text, Runnable credit) {
            call.send(InferResponse.textChunk(settings.model(), id, text).toStreamResponseBytes());
            if (call.pendingBytes() <= HIGH_MARK) {
                credit.run();
            } else {
                // A slow reader: its engine gets no more credit, so what waits here stays bounded.
                if (owed.isEmpty()) {
                    loop.blocked(this, true);
                }
                owed.add(credit);
            }
        }

        @Override
        public void onReady() {
            if (!owed.isEmpty()) {
                loop.blocked(this, false);
            }
            while (!owed.isEmpty()) {
                owed.poll().run();
            }
        }

        @Override
        void whole(int tokens) {
            call.send(
                    new InferResponse(settings.model(), id, closing(tokens), List.of())
                            .toStreamResponseBytes());
        }
    }

    /** ModelInfer: the whole answer in one message. */
    private final class Whole extends Asked {
        private final StringBuilder text = new StringBuilder();

        Whole(ServerCall call) {
            super(call);
        }

        @Override
        void give(String piece, Runnable credit) {
            text.append(piece);
            credit.run();
        }

        @Override
        void whole(int tokens) {
            call.send(
                    new InferResponse(
                                    settings.model(),
                                    id,
                                    closing(tokens),
                                    List.of(
                                            Tensor.text(
                                                    InferResponse.TEXT_OUTPUT, text.toString())))
                            .toByteArray());
        }
    }
}

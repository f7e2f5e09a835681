package sorrelhoist.edge;

import java.util.function.BooleanSupplier;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.inference.ModelMessages;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * The gRPC methods that clients call: those of the Open Inference Protocol and of gRPC health
 * checking.
 */
final class InferenceService {
    private static final String SERVER_NAME = "sorrelhoist";
    private static final String SERVER_VERSION = "0.2.0";

    private final EdgeSettings settings;
    private final RequestParser parser;
    private final RouterEventLoop router;
    private final Tracing tracing;
    private final BooleanSupplier serving;

    /**
     * Creates the service.
     *
     * @param settings the edge's settings
     * @param router the router that handles the requests
     * @param tracing the tracing of the requests
     * @param serving whether the edge currently accepts requests
     */
    InferenceService(
            EdgeSettings settings,
            RouterEventLoop router,
            Tracing tracing,
            BooleanSupplier serving) {
        this.settings = settings;
        this.parser = new RequestParser(settings);
        this.router = router;
        this.tracing = tracing;
        this.serving = serving;
    }

    /** Returns a server of these methods that accepts messages of up to the given size in bytes. */
    GrpcServer server(int maxMessageBytes) {
        String inference = ModelMessages.SERVICE;
        String health = ModelMessages.HEALTH;
        return new GrpcServer(maxMessageBytes)
                .addUnaryMethod(
                        inference + "ServerLive",
                        (call, message) -> reply(call, ModelMessages.booleanResponse(true)))
                .addUnaryMethod(
                        inference + "ServerReady", (call, message) -> reply(call, readiness()))
                .addUnaryMethod(
                        inference + "ModelReady",
                        (call, message) -> replyForModel(call, message, readiness()))
                .addUnaryMethod(
                        inference + "ServerMetadata",
                        (call, message) ->
                                reply(
                                        call,
                                        ModelMessages.serverMetadata(SERVER_NAME, SERVER_VERSION)))
                .addUnaryMethod(
                        inference + "ModelMetadata",
                        (call, message) ->
                                replyForModel(
                                        call,
                                        message,
                                        ModelMessages.modelMetadata(settings.model())))
                .addMethod(
                        inference + "ModelInfer",
                        call -> new UnaryInferenceCall(call, parser, router, tracing))
                .addMethod(
                        inference + "ModelStreamInfer",
                        call -> new StreamingInferenceCall(call, parser, router, tracing))
                .addUnaryMethod(health + "Check", this::checkHealth)
                .addMethod(health + "Watch", call -> new HealthWatch(call, this::healthStatus));
    }

    private byte[] readiness() {
        return ModelMessages.booleanResponse(serving.getAsBoolean());
    }

    private int healthStatus() {
        return serving.getAsBoolean() ? ModelMessages.SERVING : ModelMessages.NOT_SERVING;
    }

    private static void reply(ServerCall call, byte[] message) {
        call.send(message);
        call.close(Status.OK, null);
    }

    private void replyForModel(ServerCall call, byte[] request, byte[] message) {
        try {
            String model = ModelMessages.parseName(request);
            if (model.equals(settings.model())) {
                reply(call, message);
            } else {
                call.close(
                        new Status(
                                StatusCode.NOT_FOUND,
                                "no model \"" + model + "\": ask for \"" + settings.model() + "\""),
                        null);
            }
        } catch (ProtoException e) {
            call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
        }
    }

    private void checkHealth(ServerCall call, byte[] request) {
        try {
            String service = ModelMessages.parseName(request);
            if (service.isEmpty() || ModelMessages.SERVICE.equals("/" + service + "/")) {
                reply(call, ModelMessages.healthCheckResponse(healthStatus()));
            } else {
                call.close(
                        new Status(StatusCode.NOT_FOUND, "no service \"" + service + "\""), null);
            }
        } catch (ProtoException e) {
            call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
        }
    }
}

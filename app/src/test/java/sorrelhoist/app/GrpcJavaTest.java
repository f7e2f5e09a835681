package sorrelhoist.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import grpc.health.v1.HealthCheckRequest;
import grpc.health.v1.HealthCheckResponse;
import inference.InferParameter;
import inference.InferTensorContents;
import inference.ModelInferRequest;
import inference.ModelInferResponse;
import inference.ModelMetadataRequest;
import inference.ModelMetadataResponse;
import inference.ModelReadyRequest;
import inference.ModelReadyResponse;
import inference.ModelStreamInferResponse;
import inference.ServerLiveRequest;
import inference.ServerLiveResponse;
import inference.ServerReadyRequest;
import inference.ServerReadyResponse;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.protobuf.ProtoUtils;
import io.grpc.stub.ClientCalls;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests the edge with grpc-java and the published messages, both written by other projects. */
class GrpcJavaTest {
    private static final String SERVICE = "inference.GRPCInferenceService/";
    private static final MethodDescriptor<ModelInferRequest, ModelStreamInferResponse> STREAM =
            method(
                    SERVICE + "ModelStreamInfer",
                    MethodDescriptor.MethodType.BIDI_STREAMING,
                    ModelInferRequest.getDefaultInstance(),
                    ModelStreamInferResponse.getDefaultInstance());
    private static final MethodDescriptor<ModelInferRequest, ModelInferResponse> INFER =
            unary(
                    "ModelInfer",
                    ModelInferRequest.getDefaultInstance(),
                    ModelInferResponse.getDefaultInstance());
    private static LocalFleet fleet;
    private static ManagedChannel channel;

    private static <Q extends Message, A extends Message> MethodDescriptor<Q, A> method(
            String name, MethodDescriptor.MethodType type, Q request, A response) {
        return MethodDescriptor.<Q, A>newBuilder()
                .setType(type)
                .setFullMethodName(name)
                .setRequestMarshaller(ProtoUtils.marshaller(request))
                .setResponseMarshaller(ProtoUtils.marshaller(response))
                .build();
    }

    private static <Q extends Message, A extends Message> MethodDescriptor<Q, A> unary(
            String name, Q q, A a) {
        return method(SERVICE + name, MethodDescriptor.MethodType.UNARY, q, a);
    }

    @BeforeAll
    static void start() throws Exception {
        fleet = new LocalFleet(2, 2, 1);
        channel = NettyChannelBuilder.forTarget(fleet.address(0)).usePlaintext().build();
        // grpc-java computes grpc-timeout before it connects, and the time for connecting counts
        // towards the deadline. Tests of deadlines therefore need an open connection.
        assertTrue(
                ClientCalls.blockingUnaryCall(
                                channel,
                                unary(
                                        "ServerLive",
                                        ServerLiveRequest.getDefaultInstance(),
                                        ServerLiveResponse.getDefaultInstance()),
                                CallOptions.DEFAULT,
                                ServerLiveRequest.getDefaultInstance())
                        .getLive());
    }

    @AfterAll
    static void stop() {
        channel.shutdownNow();
        fleet.close();
    }

    private static ModelInferRequest.Builder request(int maxTokens) {
        return ModelInferRequest.newBuilder()
                .setModelName(LocalFleet.MODEL)
                .setId("g")
                .putParameters(
                        "max_tokens", InferParameter.newBuilder().setInt64Param(maxTokens).build())
                .addInputs(
                        ModelInferRequest.InferInputTensor.newBuilder()
                                .setName("text_input")
                                .setDatatype("BYTES")
                                .addShape(1)
                                .setContents(
                                        InferTensorContents.newBuilder()
                                                .addBytesContents(
                                                        ByteString.copyFromUtf8(
                                                                "Grüße: what about dock seven?"))));
    }

    /** Records the messages and the status of a streaming call. */
    private static final class Seen extends ClientCall.Listener<ModelStreamInferResponse> {
        final List<ModelStreamInferResponse> messages = new ArrayList<>();
        final CompletableFuture<Status> status = new CompletableFuture<>();
        final CompletableFuture<Void> some = new CompletableFuture<>();
        Metadata trailers;
        ClientCall<?, ?> call;

        @Override
        public synchronized void onMessage(ModelStreamInferResponse m) {
            messages.add(m);
            if (messages.size() == 3) {
                some.complete(null);
            }
            call.request(1);
        }

        @Override
        public void onClose(Status s, Metadata t) {
            trailers = t;
            status.complete(s);
        }
    }

    private static Seen stream(ModelInferRequest request, CallOptions options) {
        ClientCall<ModelInferRequest, ModelStreamInferResponse> call =
                channel.newCall(STREAM, options);
        Seen seen = new Seen();
        seen.call = call;
        call.start(seen, new Metadata());
        call.request(1);
        call.sendMessage(request);
        call.halfClose();
        return seen;
    }

    private static Status.Code failure(ModelInferRequest request) {
        return assertThrows(
                        StatusRuntimeException.class,
                        () ->
                                ClientCalls.blockingUnaryCall(
                                        channel, INFER, CallOptions.DEFAULT, request))
                .getStatus()
                .getCode();
    }

    @Test
    void aStreamedAnswerHasOneMessageATokenAndAMarkedLastOne() throws Exception {
        Seen seen = stream(request(30).build(), CallOptions.DEFAULT);
        assertTrue(seen.status.get(10, TimeUnit.SECONDS).isOk(), seen.status.get().toString());
        int last = seen.messages.size() - 1;
        assertTrue(last >= 1);
        for (int i = 0; i < last; i++) {
            String text =
                    seen.messages
                            .get(i)
                            .getInferResponse()
                            .getOutputs(0)
                            .getContents()
                            .getBytesContents(0)
                            .toStringUtf8();
            assertTrue(text.matches("[a-z]+" + i + " "), text);
            assertFalse(
                    seen.messages
                            .get(i)
                            .getInferResponse()
                            .containsParameters("triton_final_response"));
        }
        ModelInferResponse end = seen.messages.get(last).getInferResponse();
        assertTrue(end.getParametersOrThrow("triton_final_response").getBoolParam());
        assertEquals(last, end.getParametersOrThrow("output_tokens").getInt64Param());
        assertEquals("g", end.getId());
        assertEquals(LocalFleet.MODEL, end.getModelName());
    }

    @Test
    void aWholeAnswerIsTheSameText() throws Exception {
        Seen seen = stream(request(30).build(), CallOptions.DEFAULT);
        seen.status.get(10, TimeUnit.SECONDS);
        StringBuilder streamed = new StringBuilder();
        seen.messages.stream()
                .filter(m -> m.getInferResponse().getOutputsCount() > 0)
                .forEach(
                        m ->
                                streamed.append(
                                        m.getInferResponse()
                                                .getOutputs(0)
                                                .getContents()
                                                .getBytesContents(0)
                                                .toStringUtf8()));
        ModelInferResponse whole =
                ClientCalls.blockingUnaryCall(
                        channel, INFER, CallOptions.DEFAULT, request(30).build());
        assertEquals(
                streamed.toString(),
                whole.getOutputs(0).getContents().getBytesContents(0).toStringUtf8());
        assertEquals("text_output", whole.getOutputs(0).getName());
        assertEquals("BYTES", whole.getOutputs(0).getDatatype());
    }

    @Test
    void rawContentsAreTakenToo() {
        ModelInferRequest raw =
                ModelInferRequest.newBuilder()
                        .setModelName(LocalFleet.MODEL)
                        .addInputs(
                                ModelInferRequest.InferInputTensor.newBuilder()
                                        .setName("text_input")
                                        .setDatatype("BYTES")
                                        .addShape(1))
                        .addRawInputContents(ByteString.copyFrom(new byte[] {2, 0, 0, 0, 'h', 'i'}))
                        .build();
        assertTrue(
                ClientCalls.blockingUnaryCall(channel, INFER, CallOptions.DEFAULT, raw)
                                .getOutputsCount()
                        > 0);
    }

    @Test
    void aCancelledStreamLeavesNothingBehind() throws Exception {
        Seen seen = stream(request(2000).build(), CallOptions.DEFAULT);
        seen.some.get(10, TimeUnit.SECONDS);
        seen.call.cancel("enough", null);
        assertEquals(Status.Code.CANCELLED, seen.status.get(5, TimeUnit.SECONDS).getCode());
        fleet.awaitIdle(0);
    }

    @Test
    void aDeadlineEndsAStreamBeforeTheClientsOwnClock() throws Exception {
        Seen seen =
                stream(
                        request(4000).build(),
                        CallOptions.DEFAULT.withDeadlineAfter(2, TimeUnit.SECONDS));
        assertEquals(Status.Code.DEADLINE_EXCEEDED, seen.status.get(5, TimeUnit.SECONDS).getCode());
        assertTrue(seen.messages.size() > 3);
        // This text comes from the edge; grpc-java reports its own timeouts with another text.
        assertEquals(
                "the answer did not end within the client's time",
                seen.status.get().getDescription());
        fleet.awaitIdle(0);
    }

    @Test
    void aRefusalCarriesAHint() throws Exception {
        for (String w : new String[] {"w1", "w2"}) {
            fleet.sendFaultCommand(w, "errors 1 3000");
        }
        Seen seen =
                stream(
                        request(5).build(),
                        CallOptions.DEFAULT.withDeadlineAfter(3, TimeUnit.SECONDS));
        Status status = seen.status.get(5, TimeUnit.SECONDS);
        for (String w : new String[] {"w1", "w2"}) {
            fleet.sendFaultCommand(w, "errors 0 1");
        }
        assertEquals(Status.Code.RESOURCE_EXHAUSTED, status.getCode());
        String hint =
                seen.trailers.get(
                        Metadata.Key.of(
                                "grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER));
        assertTrue(Integer.parseInt(hint) > 0);
        LocalFleet.await("the writers to be used again", () -> InferenceProbe.served(fleet, 0));
    }

    @Test
    void invalidInputIsRejectedWithASpecificMessage() {
        assertEquals(Status.Code.NOT_FOUND, failure(request(5).setModelName("other").build()));
        assertEquals(Status.Code.INVALID_ARGUMENT, failure(request(5).clearInputs().build()));
        assertEquals(Status.Code.INVALID_ARGUMENT, failure(request(0).build()));
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                failure(
                        request(5)
                                .putParameters(
                                        "max_tokens",
                                        InferParameter.newBuilder().setStringParam("five").build())
                                .build()));
        assertEquals(
                Status.Code.INVALID_ARGUMENT,
                failure(
                        request(5)
                                .putParameters(
                                        "class",
                                        InferParameter.newBuilder()
                                                .setStringParam("nonesuch")
                                                .build())
                                .build()));
        StatusRuntimeException e =
                assertThrows(
                        StatusRuntimeException.class,
                        () ->
                                ClientCalls.blockingUnaryCall(
                                        channel,
                                        INFER,
                                        CallOptions.DEFAULT,
                                        request(5)
                                                .putParameters(
                                                        "class",
                                                        InferParameter.newBuilder()
                                                                .setStringParam("nonesuch")
                                                                .build())
                                                .build()));
        assertEquals(
                "parameter \"class\" is \"nonesuch\": known are [chat, order]",
                e.getStatus().getDescription());
    }

    @Test
    void serverModelAndHealthAnswer() {
        assertTrue(
                ClientCalls.blockingUnaryCall(
                                channel,
                                unary(
                                        "ServerLive",
                                        ServerLiveRequest.getDefaultInstance(),
                                        ServerLiveResponse.getDefaultInstance()),
                                CallOptions.DEFAULT,
                                ServerLiveRequest.getDefaultInstance())
                        .getLive());
        assertTrue(
                ClientCalls.blockingUnaryCall(
                                channel,
                                unary(
                                        "ServerReady",
                                        ServerReadyRequest.getDefaultInstance(),
                                        ServerReadyResponse.getDefaultInstance()),
                                CallOptions.DEFAULT,
                                ServerReadyRequest.getDefaultInstance())
                        .getReady());
        assertTrue(
                ClientCalls.blockingUnaryCall(
                                channel,
                                unary(
                                        "ModelReady",
                                        ModelReadyRequest.getDefaultInstance(),
                                        ModelReadyResponse.getDefaultInstance()),
                                CallOptions.DEFAULT,
                                ModelReadyRequest.newBuilder().setName(LocalFleet.MODEL).build())
                        .getReady());
        ModelMetadataResponse meta =
                ClientCalls.blockingUnaryCall(
                        channel,
                        unary(
                                "ModelMetadata",
                                ModelMetadataRequest.getDefaultInstance(),
                                ModelMetadataResponse.getDefaultInstance()),
                        CallOptions.DEFAULT,
                        ModelMetadataRequest.newBuilder().setName(LocalFleet.MODEL).build());
        assertEquals("text_input", meta.getInputs(0).getName());
        assertEquals(List.of(1L), meta.getOutputs(0).getShapeList());
        HealthCheckResponse health =
                ClientCalls.blockingUnaryCall(
                        channel,
                        method(
                                "grpc.health.v1.Health/Check",
                                MethodDescriptor.MethodType.UNARY,
                                HealthCheckRequest.getDefaultInstance(),
                                HealthCheckResponse.getDefaultInstance()),
                        CallOptions.DEFAULT,
                        HealthCheckRequest.getDefaultInstance());
        assertEquals(HealthCheckResponse.ServingStatus.SERVING, health.getStatus());
    }

    @Test
    void anUnknownMethodIsUnimplemented() {
        StatusRuntimeException e =
                assertThrows(
                        StatusRuntimeException.class,
                        () ->
                                ClientCalls.blockingUnaryCall(
                                        channel,
                                        unary(
                                                "Nonesuch",
                                                ServerLiveRequest.getDefaultInstance(),
                                                ServerLiveResponse.getDefaultInstance()),
                                        CallOptions.DEFAULT,
                                        ServerLiveRequest.getDefaultInstance()));
        assertEquals(Status.Code.UNIMPLEMENTED, e.getStatus().getCode());
    }
}

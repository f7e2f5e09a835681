package sorrelhoist.protocol.inference;

import java.util.List;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Encoders and decoders for the small messages of the Open Inference Protocol and of gRPC's health
 * checking protocol.
 */
public final class ModelMessages {
    /** Path prefix of the inference service's methods. */
    public static final String SERVICE = "/inference.GRPCInferenceService/";

    /** Path prefix of the health service's methods. */
    public static final String HEALTH = "/grpc.health.v1.Health/";

    /** The value SERVING of HealthCheckResponse.ServingStatus. */
    public static final int SERVING = 1;

    /** The value NOT_SERVING of HealthCheckResponse.ServingStatus. */
    public static final int NOT_SERVING = 2;

    private ModelMessages() {}

    /** {@return an encoded ServerLiveResponse, ServerReadyResponse or ModelReadyResponse} */
    public static byte[] booleanResponse(boolean value) {
        return new ProtoWriter().writeBool(1, value).toByteArray();
    }

    /** {@return an encoded HealthCheckResponse} */
    public static byte[] healthCheckResponse(int status) {
        return new ProtoWriter().writeVarint(1, status).toByteArray();
    }

    /**
     * {@return field 1 of a message: the model's name in ModelReadyRequest and
     * ModelMetadataRequest, the service in HealthCheckRequest}
     */
    public static String parseName(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        String name = "";
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            if (field == 1) {
                name = in.readString();
            } else {
                in.skipField();
            }
        }
        return name;
    }

    /** {@return an encoded ServerMetadataResponse} */
    public static byte[] serverMetadata(String name, String version) {
        return new ProtoWriter().writeString(1, name).writeString(2, version).toByteArray();
    }

    /**
     * {@return an encoded ModelMetadataResponse of a model with one text input and one text output}
     */
    public static byte[] modelMetadata(String name) {
        return new ProtoWriter()
                .writeString(1, name)
                .writeString(2, "1")
                .writeString(3, "sorrelhoist")
                .writeMessage(4, tensor(InferRequest.TEXT_INPUT))
                .writeMessage(5, tensor(InferResponse.TEXT_OUTPUT))
                .toByteArray();
    }

    private static ProtoWriter tensor(String name) {
        return new Tensor(name, Tensor.BYTES, List.of(1L), List.of()).write();
    }
}

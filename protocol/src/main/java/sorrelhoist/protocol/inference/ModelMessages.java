package sorrelhoist.protocol.inference;

import java.util.List;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/** The small messages of the Open Inference Protocol and of gRPC's health protocol. */
public final class ModelMessages {
    /** The inference service's path, to which a method's name is added. */
    public static final String SERVICE = "/inference.GRPCInferenceService/";

    /** The health service's path, to which a method's name is added. */
    public static final String HEALTH = "/grpc.health.v1.Health/";

    /** HealthCheckResponse.ServingStatus. */
    public static final int SERVING = 1;

    /** HealthCheckResponse.ServingStatus. */
    public static final int NOT_SERVING = 2;

    private ModelMessages() {}

    /** {@return the bytes of ServerLiveResponse, ServerReadyResponse or ModelReadyResponse} */
    public static byte[] booleanResponse(boolean value) {
        return new ProtoWriter().writeBool(1, value).toByteArray();
    }

    /** {@return the bytes of a HealthCheckResponse} */
    public static byte[] healthCheckResponse(int status) {
        return new ProtoWriter().writeVarint(1, status).toByteArray();
    }

    /**
     * {@return field 1: the name in ModelReadyRequest and ModelMetadataRequest, the service in a
     * health check}
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

    /** {@return the bytes of a ServerMetadataResponse} */
    public static byte[] serverMetadata(String name, String version) {
        return new ProtoWriter().writeString(1, name).writeString(2, version).toByteArray();
    }

    /** {@return the bytes of a ModelMetadataResponse: text in, text out} */
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

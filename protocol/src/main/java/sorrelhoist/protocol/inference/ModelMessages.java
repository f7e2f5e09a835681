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
    public static byte[] yes(boolean value) {
        return new ProtoWriter(2).flag(1, value).done();
    }

    /** {@return the bytes of a HealthCheckResponse} */
    public static byte[] health(int status) {
        return new ProtoWriter(2).integer(1, status).done();
    }

    /**
     * {@return field 1: the name in ModelReadyRequest and ModelMetadataRequest, the service in a
     * health check}
     */
    public static String name(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        String name = "";
        for (int f = in.next(); f != 0; f = in.next()) {
            if (f == 1) {
                name = in.text();
            } else {
                in.skip();
            }
        }
        return name;
    }

    /** {@return the bytes of a ServerMetadataResponse} */
    public static byte[] server(String name, String version) {
        return new ProtoWriter().text(1, name).text(2, version).done();
    }

    /** {@return the bytes of a ModelMetadataResponse: text in, text out} */
    public static byte[] model(String name) {
        return new ProtoWriter()
                .text(1, name)
                .text(2, "1")
                .text(3, "sorrelhoist")
                .message(4, tensor(InferRequest.TEXT_INPUT))
                .message(5, tensor(InferResponse.TEXT_OUTPUT))
                .done();
    }

    private static ProtoWriter tensor(String name) {
        return new Tensor(name, Tensor.BYTES, List.of(1L), List.of()).write();
    }
}

package sorrelhoist.protocol.inference;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * ModelInferRequest of the Open Inference Protocol.
 *
 * @param modelName which model
 * @param modelVersion which version; empty for any
 * @param id the client's name for it; may be empty
 * @param parameters further wishes
 * @param inputs input tensors
 * @param rawContents raw contents, one for each input, or none at all
 */
public record InferRequest(
        String modelName,
        String modelVersion,
        String id,
        Map<String, Parameter> parameters,
        List<Tensor> inputs,
        List<byte[]> rawContents) {
    /** Name of the input tensor that holds the prompt. */
    public static final String TEXT_INPUT = "text_input";

    /** {@return the message in these bytes} */
    public static InferRequest parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        String model = "";
        String version = "";
        String id = "";
        Map<String, Parameter> parameters = Parameter.none();
        List<Tensor> inputs = new ArrayList<>();
        List<byte[]> raw = new ArrayList<>();
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> model = in.readString();
                case 2 -> version = in.readString();
                case 3 -> id = in.readString();
                case 4 -> Parameter.read(in.readMessage(), parameters);
                case 5 -> inputs.add(Tensor.read(in.readMessage()));
                case 7 -> raw.add(in.readBytes());
                default -> in.skipField();
            }
        }
        return new InferRequest(model, version, id, parameters, inputs, raw);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        ProtoWriter out =
                new ProtoWriter(256)
                        .writeString(1, modelName)
                        .writeString(2, modelVersion)
                        .writeString(3, id);
        Parameter.write(parameters, 4, out);
        inputs.forEach(t -> out.writeMessage(5, t.write()));
        rawContents.forEach(r -> out.writeBytesAlways(7, r));
        return out.toByteArray();
    }
}

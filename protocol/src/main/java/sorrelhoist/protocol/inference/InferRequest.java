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
 * @param raw raw contents, one for each input, or none at all
 */
public record InferRequest(
        String modelName,
        String modelVersion,
        String id,
        Map<String, Parameter> parameters,
        List<Tensor> inputs,
        List<byte[]> raw) {
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
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> model = in.text();
                case 2 -> version = in.text();
                case 3 -> id = in.text();
                case 4 -> Parameter.read(in.message(), parameters);
                case 5 -> inputs.add(Tensor.read(in.message()));
                case 7 -> raw.add(in.bytes());
                default -> in.skip();
            }
        }
        return new InferRequest(model, version, id, parameters, inputs, raw);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        ProtoWriter out = new ProtoWriter(256).text(1, modelName).text(2, modelVersion).text(3, id);
        Parameter.write(parameters, 4, out);
        inputs.forEach(t -> out.message(5, t.write()));
        raw.forEach(r -> out.always(7, r));
        return out.done();
    }
}

package sorrelhoist.protocol.inference;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * The ModelInferRequest message of the Open Inference Protocol.
 *
 * @param modelName name of the model
 * @param modelVersion version of the model; empty for any
 * @param id the client's ID of the request; may be empty
 * @param parameters additional options by name
 * @param inputs the input tensors
 * @param rawContents raw contents, either one for each input or none at all
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

    private static final int MODEL_NAME = 1;
    private static final int MODEL_VERSION = 2;
    private static final int ID = 3;
    private static final int PARAMETERS = 4;
    private static final int INPUTS = 5;
    private static final int RAW_CONTENTS = 7;

    /** {@return the message decoded from {@code bytes}} */
    public static InferRequest parse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        String model = "";
        String version = "";
        String id = "";
        Map<String, Parameter> parameters = new LinkedHashMap<>();
        List<Tensor> inputs = new ArrayList<>();
        List<byte[]> rawContents = new ArrayList<>();
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case MODEL_NAME -> model = in.readString();
                case MODEL_VERSION -> version = in.readString();
                case ID -> id = in.readString();
                case PARAMETERS -> Parameter.readEntry(in.readMessage(), parameters);
                case INPUTS -> inputs.add(Tensor.read(in.readMessage()));
                case RAW_CONTENTS -> rawContents.add(in.readBytes());
                default -> in.skipField();
            }
        }
        return new InferRequest(model, version, id, parameters, inputs, rawContents);
    }

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        ProtoWriter out =
                new ProtoWriter()
                        .writeString(MODEL_NAME, modelName)
                        .writeString(MODEL_VERSION, modelVersion)
                        .writeString(ID, id);
        Parameter.writeEntries(parameters, PARAMETERS, out);
        inputs.forEach(tensor -> out.writeMessage(INPUTS, tensor.write()));
        rawContents.forEach(raw -> out.writeBytesAlways(RAW_CONTENTS, raw));
        return out.toByteArray();
    }
}

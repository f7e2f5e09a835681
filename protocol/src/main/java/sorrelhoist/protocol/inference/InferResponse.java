package sorrelhoist.protocol.inference;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * ModelInferResponse of the Open Inference Protocol.
 *
 * @param modelName which model answered
 * @param id the request's
 * @param parameters further facts
 * @param outputs output tensors
 */
public record InferResponse(
        String modelName, String id, Map<String, Parameter> parameters, List<Tensor> outputs) {
    /** Name of the output tensor that holds the answer. */
    public static final String TEXT_OUTPUT = "text_output";

    /** Name of the parameter that marks a stream's last response, as Triton has it. */
    public static final String FINAL_RESPONSE = "triton_final_response";

    /** Name of the parameter that holds how many tokens the answer has. */
    public static final String OUTPUT_TOKENS = "output_tokens";

    private static final int MODEL_NAME = 1;
    private static final int ID = 3;
    private static final int PARAMETERS = 4;
    private static final int OUTPUTS = 5;

    /** Field of ModelStreamInferResponse that holds a response. */
    private static final int STREAMED_RESPONSE = 2;

    /** {@return one piece of an answer} */
    public static InferResponse textChunk(String model, String id, String text) {
        return new InferResponse(model, id, Map.of(), List.of(Tensor.text(TEXT_OUTPUT, text)));
    }

    /** {@return the text of the first text output; empty where there is none} */
    public String text() {
        for (Tensor output : outputs) {
            if (output.name().equals(TEXT_OUTPUT) && !output.contents().isEmpty()) {
                return new String(output.contents().get(0), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** {@return whether it is marked as the last} */
    public boolean isFinal() {
        Parameter parameter = parameters.get(FINAL_RESPONSE);
        return parameter != null && Boolean.TRUE.equals(parameter.value());
    }

    /** {@return the message in these bytes} */
    public static InferResponse parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    /** {@return the response inside a ModelStreamInferResponse} */
    public static InferResponse parseStreamResponse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        InferResponse response = new InferResponse("", "", Map.of(), List.of());
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            if (field == STREAMED_RESPONSE) {
                response = read(in.readMessage());
            } else {
                in.skipField();
            }
        }
        return response;
    }

    private static InferResponse read(ProtoReader in) throws ProtoException {
        String model = "";
        String id = "";
        Map<String, Parameter> parameters = new LinkedHashMap<>();
        List<Tensor> outputs = new ArrayList<>();
        for (int field = in.nextField(); field != 0; field = in.nextField()) {
            switch (field) {
                case MODEL_NAME -> model = in.readString();
                case ID -> id = in.readString();
                case PARAMETERS -> Parameter.readEntry(in.readMessage(), parameters);
                case OUTPUTS -> outputs.add(Tensor.read(in.readMessage()));
                default -> in.skipField();
            }
        }
        return new InferResponse(model, id, parameters, outputs);
    }

    private ProtoWriter write() {
        ProtoWriter out = new ProtoWriter().writeString(MODEL_NAME, modelName).writeString(ID, id);
        Parameter.writeEntries(parameters, PARAMETERS, out);
        outputs.forEach(tensor -> out.writeMessage(OUTPUTS, tensor.write()));
        return out;
    }

    /** {@return the message's bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }

    /** {@return the bytes of a ModelStreamInferResponse that holds it} */
    public byte[] toStreamResponseBytes() {
        return new ProtoWriter().writeMessage(STREAMED_RESPONSE, write()).toByteArray();
    }
}

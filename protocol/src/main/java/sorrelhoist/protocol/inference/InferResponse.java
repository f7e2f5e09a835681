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
 * The ModelInferResponse message of the Open Inference Protocol.
 *
 * @param modelName name of the model that answered
 * @param id ID of the request
 * @param parameters additional values by name
 * @param outputs the output tensors
 */
public record InferResponse(
        String modelName, String id, Map<String, Parameter> parameters, List<Tensor> outputs) {
    /** Name of the output tensor that contains the answer's text. */
    public static final String TEXT_OUTPUT = "text_output";

    /** Name of the parameter with which Triton marks the last response of a stream. */
    public static final String FINAL_RESPONSE = "triton_final_response";

    /** Name of the parameter with the number of tokens in the answer. */
    public static final String OUTPUT_TOKENS = "output_tokens";

    private static final int MODEL_NAME = 1;
    private static final int ID = 3;
    private static final int PARAMETERS = 4;
    private static final int OUTPUTS = 5;

    /** Number of the field infer_response in ModelStreamInferResponse. */
    private static final int STREAMED_RESPONSE = 2;

    /** {@return a response with one part of the answer's text} */
    public static InferResponse textChunk(String model, String id, String text) {
        return new InferResponse(model, id, Map.of(), List.of(Tensor.text(TEXT_OUTPUT, text)));
    }

    /** {@return the text of the first text output; empty if there is none} */
    public String text() {
        for (Tensor output : outputs) {
            if (output.name().equals(TEXT_OUTPUT) && !output.contents().isEmpty()) {
                return new String(output.contents().get(0), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** {@return whether the response is marked as the last of its stream} */
    public boolean isFinal() {
        Parameter parameter = parameters.get(FINAL_RESPONSE);
        return parameter != null && Boolean.TRUE.equals(parameter.value());
    }

    /** {@return the message decoded from {@code bytes}} */
    public static InferResponse parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    /** {@return the response in an encoded ModelStreamInferResponse; empty if it has none} */
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

    /** {@return the encoded message} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }

    /** {@return an encoded ModelStreamInferResponse with this response} */
    public byte[] toStreamResponseBytes() {
        return new ProtoWriter().writeMessage(STREAMED_RESPONSE, write()).toByteArray();
    }
}

package sorrelhoist.protocol.inference;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

    /** {@return one piece of an answer} */
    public static InferResponse textChunk(String model, String id, String text) {
        return new InferResponse(model, id, Map.of(), List.of(Tensor.text(TEXT_OUTPUT, text)));
    }

    /** {@return the text of the first text output; empty where there is none} */
    public String text() {
        for (Tensor t : outputs) {
            if (t.name().equals(TEXT_OUTPUT) && !t.contents().isEmpty()) {
                return new String(t.contents().get(0), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** {@return whether it is marked as the last} */
    public boolean isFinal() {
        Parameter p = parameters.get(FINAL_RESPONSE);
        return p != null && Boolean.TRUE.equals(p.value());
    }

    /** {@return the message in these bytes} */
    public static InferResponse parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    /** {@return the response inside a ModelStreamInferResponse} */
    public static InferResponse parseStreamResponse(byte[] bytes) throws ProtoException {
        ProtoReader in = new ProtoReader(bytes);
        InferResponse response = new InferResponse("", "", Map.of(), List.of());
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            if (f == 2) {
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
        Map<String, Parameter> parameters = Parameter.none();
        List<Tensor> outputs = new ArrayList<>();
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> model = in.readString();
                case 3 -> id = in.readString();
                case 4 -> Parameter.read(in.readMessage(), parameters);
                case 5 -> outputs.add(Tensor.read(in.readMessage()));
                default -> in.skipField();
            }
        }
        return new InferResponse(model, id, parameters, outputs);
    }

    private ProtoWriter write() {
        ProtoWriter out = new ProtoWriter(128).writeString(1, modelName).writeString(3, id);
        Parameter.write(parameters, 4, out);
        outputs.forEach(t -> out.writeMessage(5, t.write()));
        return out;
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }

    /** {@return the bytes of a ModelStreamInferResponse that holds it} */
    public byte[] toStreamResponseBytes() {
        return new ProtoWriter(160).writeMessage(2, write()).toByteArray();
    }
}

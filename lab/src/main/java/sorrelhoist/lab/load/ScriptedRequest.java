package sorrelhoist.lab.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;

/**
 * One request of a client.
 *
 * @param id the client's name for it
 * @param requestClass its class's name, or null for the default
 * @param session the conversation, or null
 * @param prefix the shared beginning's name, or null
 * @param prefixTokens tokens of the shared beginning
 * @param prompt the text
 * @param maxTokens the most that may be answered; 0 for the default
 * @param timeoutMicros until the client gives up
 */
public record ScriptedRequest(
        String id,
        String requestClass,
        String session,
        String prefix,
        int prefixTokens,
        String prompt,
        int maxTokens,
        long timeoutMicros) {
    InferRequest toInferRequest(String model) {
        Map<String, Parameter> parameters = new LinkedHashMap<>();
        put(parameters, "class", requestClass);
        put(parameters, "session", session);
        put(parameters, "prefix", prefix);
        put(parameters, "prefix_tokens", prefix == null ? null : (Object) (long) prefixTokens);
        put(parameters, "max_tokens", maxTokens == 0 ? null : (Object) (long) maxTokens);
        return new InferRequest(
                model,
                "",
                id,
                parameters,
                List.of(Tensor.text(InferRequest.TEXT_INPUT, prompt)),
                List.of());
    }

    private static void put(Map<String, Parameter> parameters, String name, Object value) {
        if (value != null) {
            parameters.put(name, new Parameter(value));
        }
    }
}

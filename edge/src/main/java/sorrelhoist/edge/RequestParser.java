package sorrelhoist.edge;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.text.TokenEstimator;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Parses and validates a client's request message. Error messages tell the client what to correct.
 */
final class RequestParser {
    private static final int MAX_NAME_LENGTH = 256;
    private static final int MAX_QUOTED_LENGTH = 40;

    // Names of the optional request parameters.
    private static final String MAX_TOKENS = "max_tokens";
    private static final String CLASS = "class";
    private static final String TENANT = "tenant";
    private static final String SESSION = "session";
    private static final String PREFIX = "prefix";
    private static final String PREFIX_TOKENS = "prefix_tokens";

    private final EdgeSettings settings;
    private final List<String> classNames;
    private final List<String> tenantNames;

    RequestParser(EdgeSettings settings) {
        this.settings = settings;
        this.classNames =
                settings.classes().stream().map(EdgeSettings.ClassSettings::name).toList();
        this.tenantNames =
                settings.tenants().stream().map(EdgeSettings.TenantSettings::name).toList();
    }

    /** Returns the name of the model that the edge serves. */
    String model() {
        return settings.model();
    }

    /**
     * Parses a request.
     *
     * @param message the client's request message
     * @param timeoutMicros the client's timeout, in microseconds; 0 or less if the client gave none
     * @param previousAttempts the number of attempts that the client's gRPC library has made before
     * @param trace the request's trace context
     * @return the request
     * @throws InvalidRequestException if the request is invalid
     */
    InferenceRequest parse(
            InferRequest message, long timeoutMicros, int previousAttempts, RequestTrace trace)
            throws InvalidRequestException {
        checkModel(message.modelName());
        String prompt = prompt(message);
        Map<String, Parameter> parameters = message.parameters();
        int maxTokens =
                (int)
                        integerParameter(
                                parameters,
                                MAX_TOKENS,
                                settings.serving().defaultMaxTokens(),
                                1,
                                settings.serving().mostMaxTokens());
        long promptTokens = TokenEstimator.estimate(prompt);
        String prefix = stringParameter(parameters, PREFIX);
        long prefixTokens = integerParameter(parameters, PREFIX_TOKENS, 0, 0, promptTokens);
        if (message.id().length() > MAX_NAME_LENGTH) {
            throw invalid("the request's id is longer than " + MAX_NAME_LENGTH + " characters");
        }
        return InferenceRequest.builder(prompt, promptTokens, maxTokens)
                .clientRequestId(message.id())
                .classIndex(indexOfName(parameters, CLASS, classNames))
                .tenantIndex(indexOfName(parameters, TENANT, tenantNames))
                .session(stringParameter(parameters, SESSION))
                .sharedPrefix(prefix, prefix == null ? 0 : prefixTokens)
                .timeoutMicros(Math.max(0, timeoutMicros))
                .previousAttempts(previousAttempts)
                .attachment(trace)
                .build();
    }

    private void checkModel(String name) throws InvalidRequestException {
        if (!name.equals(settings.model())) {
            throw new InvalidRequestException(
                    StatusCode.NOT_FOUND,
                    "no model \"" + abbreviate(name) + "\": ask for \"" + settings.model() + "\"");
        }
    }

    private String prompt(InferRequest message) throws InvalidRequestException {
        byte[] bytes = promptBytes(message);
        int maxBytes = settings.serving().maxPromptBytes();
        if (bytes.length == 0 || bytes.length > maxBytes) {
            throw invalid("the prompt has " + bytes.length + " bytes: give 1 to " + maxBytes);
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw invalid("the prompt is not UTF-8");
        }
    }

    /** Returns the only element of the input tensor that holds the prompt. */
    private static byte[] promptBytes(InferRequest message) throws InvalidRequestException {
        int index = promptIndex(message);
        Tensor tensor = message.inputs().get(index);
        if (!tensor.datatype().equals(Tensor.BYTES)) {
            throw invalid(
                    "input \"text_input\" has datatype \""
                            + abbreviate(tensor.datatype())
                            + "\": give BYTES");
        }
        List<byte[]> rawContents = message.rawContents();
        if (!rawContents.isEmpty() && rawContents.size() != message.inputs().size()) {
            throw invalid(
                    "raw_input_contents has "
                            + rawContents.size()
                            + " entries for "
                            + message.inputs().size()
                            + " inputs");
        }
        List<byte[]> elements;
        try {
            elements = tensor.elements(rawContents.isEmpty() ? null : rawContents.get(index));
        } catch (ProtoException e) {
            throw invalid(e.getMessage());
        }
        if (elements.size() != 1) {
            throw invalid("input \"text_input\" has " + elements.size() + " elements: give one");
        }
        return elements.get(0);
    }

    /** Returns the index of the last input tensor that has the name of the prompt tensor. */
    private static int promptIndex(InferRequest message) throws InvalidRequestException {
        for (int i = message.inputs().size() - 1; i >= 0; i--) {
            if (message.inputs().get(i).name().equals(InferRequest.TEXT_INPUT)) {
                return i;
            }
        }
        throw invalid(
                "input \"text_input\" is missing: give the prompt as a BYTES tensor of that name");
    }

    /** Returns an integer parameter; the default value if it is absent. */
    private static long integerParameter(
            Map<String, Parameter> parameters, String name, long defaultValue, long min, long max)
            throws InvalidRequestException {
        Parameter parameter = parameters.get(name);
        if (parameter == null) {
            return defaultValue;
        }
        if (!(parameter.value() instanceof Long value) || value < min || value > max) {
            throw invalid(
                    "parameter \"" + name + "\" has to be an int64 from " + min + " to " + max);
        }
        return value;
    }

    /** Returns a string parameter; null if it is absent or empty. */
    private static String stringParameter(Map<String, Parameter> parameters, String name)
            throws InvalidRequestException {
        Parameter parameter = parameters.get(name);
        if (parameter == null) {
            return null;
        }
        if (!(parameter.value() instanceof String value) || value.length() > MAX_NAME_LENGTH) {
            throw invalid(
                    "parameter \""
                            + name
                            + "\" has to be a string of at most "
                            + MAX_NAME_LENGTH
                            + " characters");
        }
        return value.isEmpty() ? null : value;
    }

    /**
     * Returns the index in a list of names of a parameter's value; 0 if the parameter is absent.
     */
    private static int indexOfName(
            Map<String, Parameter> parameters, String parameter, List<String> names)
            throws InvalidRequestException {
        String name = stringParameter(parameters, parameter);
        if (name == null) {
            return 0;
        }
        int index = names.indexOf(name);
        if (index < 0) {
            throw invalid(
                    "parameter \""
                            + parameter
                            + "\" is \""
                            + abbreviate(name)
                            + "\": known are "
                            + names);
        }
        return index;
    }

    private static InvalidRequestException invalid(String message) {
        return new InvalidRequestException(StatusCode.INVALID_ARGUMENT, message);
    }

    private static String abbreviate(String text) {
        return text.length() <= MAX_QUOTED_LENGTH
                ? text
                : text.substring(0, MAX_QUOTED_LENGTH) + "...";
    }
}

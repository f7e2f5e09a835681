package sorrelhoist.edge;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.text.TokenEstimator;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;
import sorrelhoist.protocol.protobuf.ProtoException;

/** Reads a client's request into a call, or says what to mend. */
final class Requests {
    /** A request that cannot be taken. */
    static final class Bad extends Exception {
        private static final long serialVersionUID = 1;
        private final transient Status status;

        Bad(StatusCode code, String what) {
            super(what, null, false, false);
            this.status = new Status(code, what);
        }

        Status status() {
            return status;
        }
    }

    private static final int MAX_NAME = 256;
    private final EdgeSettings settings;

    Requests(EdgeSettings settings) {
        this.settings = settings;
    }

    InferenceRequest call(InferRequest r, long timeoutMicros, int previousAttempts, Object trace)
            throws Bad {
        if (!r.modelName().equals(settings.model())) {
            throw new Bad(
                    StatusCode.NOT_FOUND,
                    "no model \""
                            + cut(r.modelName())
                            + "\": ask for \""
                            + settings.model()
                            + "\"");
        }
        String prompt = prompt(r);
        Map<String, Parameter> p = r.parameters();
        long most =
                whole(
                        p,
                        "max_tokens",
                        settings.serving().defaultMaxTokens(),
                        1,
                        settings.serving().mostMaxTokens());
        long tokens = TokenEstimator.estimate(prompt);
        String prefix = text(p, "prefix");
        long prefixTokens = whole(p, "prefix_tokens", 0, 0, tokens);
        List<String> classes =
                settings.classes().stream().map(EdgeSettings.ClassSettings::name).toList();
        List<String> tenants =
                settings.tenants().stream().map(EdgeSettings.TenantSettings::name).toList();
        if (r.id().length() > MAX_NAME) {
            throw bad("the request's id is longer than " + MAX_NAME + " characters");
        }
        return InferenceRequest.builder(prompt, tokens, (int) most)
                .clientRequestId(r.id())
                .classIndex(name(p, "class", classes))
                .tenantIndex(name(p, "tenant", tenants))
                .session(text(p, "session"))
                .sharedPrefix(prefix, prefix == null ? 0 : prefixTokens)
                .timeoutMicros(Math.max(0, timeoutMicros))
                .previousAttempts(previousAttempts)
                .attachment(trace)
                .build();
    }

    private String prompt(InferRequest r) throws Bad {
        int at = -1;
        for (int i = 0; i < r.inputs().size(); i++) {
            at = r.inputs().get(i).name().equals(InferRequest.TEXT_INPUT) ? i : at;
        }
        if (at < 0) {
            throw bad(
                    "input \"text_input\" is missing: give the prompt as a BYTES tensor of that"
                            + " name");
        }
        Tensor t = r.inputs().get(at);
        if (!t.datatype().equals(Tensor.BYTES)) {
            throw bad(
                    "input \"text_input\" has datatype \"" + cut(t.datatype()) + "\": give BYTES");
        }
        if (!r.rawContents().isEmpty() && r.rawContents().size() != r.inputs().size()) {
            throw bad(
                    "raw_input_contents has "
                            + r.rawContents().size()
                            + " entries for "
                            + r.inputs().size()
                            + " inputs");
        }
        List<byte[]> elements;
        try {
            elements = t.elements(r.rawContents().isEmpty() ? null : r.rawContents().get(at));
        } catch (ProtoException e) {
            throw bad(e.getMessage());
        }
        if (elements.size() != 1) {
            throw bad("input \"text_input\" has " + elements.size() + " elements: give one");
        }
        byte[] bytes = elements.get(0);
        if (bytes.length == 0 || bytes.length > settings.serving().maxPromptBytes()) {
            throw bad(
                    "the prompt has "
                            + bytes.length
                            + " bytes: give 1 to "
                            + settings.serving().maxPromptBytes());
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw bad("the prompt is not UTF-8");
        }
    }

    private static long whole(
            Map<String, Parameter> p, String name, long absent, long least, long most) throws Bad {
        Parameter value = p.get(name);
        if (value == null) {
            return absent;
        }
        if (!(value.value() instanceof Long n) || n < least || n > most) {
            throw bad(
                    "parameter \"" + name + "\" has to be an int64 from " + least + " to " + most);
        }
        return n;
    }

    private static String text(Map<String, Parameter> p, String name) throws Bad {
        Parameter value = p.get(name);
        if (value == null) {
            return null;
        }
        if (!(value.value() instanceof String s) || s.length() > MAX_NAME) {
            throw bad(
                    "parameter \""
                            + name
                            + "\" has to be a string of at most "
                            + MAX_NAME
                            + " characters");
        }
        return s.isEmpty() ? null : s;
    }

    private static int name(Map<String, Parameter> p, String name, List<String> known) throws Bad {
        String given = text(p, name);
        int at = given == null ? 0 : known.indexOf(given);
        if (at < 0) {
            throw bad("parameter \"" + name + "\" is \"" + cut(given) + "\": known are " + known);
        }
        return at;
    }

    private static Bad bad(String what) {
        return new Bad(StatusCode.INVALID_ARGUMENT, what);
    }

    private static String cut(String text) {
        return text.length() <= 40 ? text : text.substring(0, 40) + "...";
    }
}

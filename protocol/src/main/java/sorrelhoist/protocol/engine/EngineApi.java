package sorrelhoist.protocol.engine;

import java.util.Base64;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Method paths of the engine's gRPC service, and the encoding of the load report in its trailers.
 */
public final class EngineApi {
    private static final String SERVICE = "/sorrelhoist.engine.v1.Engine/";

    /** Reads a prompt and creates its prefill state. */
    public static final String PREFILL = SERVICE + "Prefill";

    /** Streams the tokens of an answer. */
    public static final String DECODE = SERVICE + "Decode";

    /** Reserves a slot and memory for a later decode. */
    public static final String RESERVE = SERVICE + "Reserve";

    /** Releases a prefill state or a reservation. */
    public static final String RELEASE = SERVICE + "Release";

    /** Checks the engine's health; the reply carries its load. */
    public static final String PROBE = SERVICE + "Probe";

    /** Transfers a prefill state to another engine. */
    public static final String FETCH = SERVICE + "Fetch";

    private static final String LOAD_REPORT_TRAILER = "sorrelhoist-load-bin";

    private EngineApi() {}

    /** {@return trailers that contain the encoded load report} */
    public static Headers loadReportTrailers(LoadReport load) {
        return new Headers()
                .add(
                        LOAD_REPORT_TRAILER,
                        Base64.getEncoder().withoutPadding().encodeToString(load.toByteArray()));
    }

    /** {@return the load report in the trailers, or null if it is missing or malformed} */
    public static LoadReport loadReport(Headers trailers) {
        String value = trailers.get(LOAD_REPORT_TRAILER);
        if (value == null) {
            return null;
        }
        try {
            return LoadReport.parse(Base64.getDecoder().decode(value));
        } catch (IllegalArgumentException | ProtoException e) {
            return null;
        }
    }
}

package sorrelhoist.protocol.engine;

import java.util.Base64;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

/** Names of the engine's service, and the load report that its trailers carry. */
public final class EngineApi {
    private static final String SERVICE = "/sorrelhoist.engine.v1.Engine/";

    /** Reads a prompt. */
    public static final String PREFILL = SERVICE + "Prefill";

    /** Generates an answer. */
    public static final String DECODE = SERVICE + "Decode";

    /** Reserves a slot and memory ahead. */
    public static final String RESERVE = SERVICE + "Reserve";

    /** Releases a prefill state or a reservation. */
    public static final String RELEASE = SERVICE + "Release";

    /** Health check; the answer carries the load. */
    public static final String PROBE = SERVICE + "Probe";

    /** Hands a prefill state to another engine. */
    public static final String FETCH = SERVICE + "Fetch";

    private static final String LOAD_REPORT_TRAILER = "sorrelhoist-load-bin";

    private EngineApi() {}

    /** {@return trailers that carry a load report} */
    public static Headers loadReportTrailers(LoadReport load) {
        return new Headers()
                .add(
                        LOAD_REPORT_TRAILER,
                        Base64.getEncoder().withoutPadding().encodeToString(load.toByteArray()));
    }

    /** {@return the load report in these trailers, or null where there is none that can be read} */
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

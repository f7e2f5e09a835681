package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * How a probe ended.
 *
 * @param engine its name
 * @param answered whether an answer came
 * @param latencyMicros until it came
 * @param memoryUtilization share of memory held, 0 to 1
 * @param queuedTokens tokens that wait to be read or fetched
 * @param inFlightRequests requests it holds, those waiting too
 * @param queuedRequests requests that wait
 */
public record ProbeResult(
        String engine,
        boolean answered,
        long latencyMicros,
        double memoryUtilization,
        double queuedTokens,
        double inFlightRequests,
        double queuedRequests) {
    /** {@return the message in these bytes} */
    public static ProbeResult parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ProbeResult read(ProtoReader in) throws ProtoException {
        String engine = "";
        boolean answered = false;
        long tookMicros = 0;
        double memoryShare = 0;
        double waitingTokens = 0;
        double held = 0;
        double queued = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> engine = in.readString();
                case 2 -> answered = in.readBool();
                case 3 -> tookMicros = in.readVarint();
                case 4 -> memoryShare = in.readDouble();
                case 5 -> waitingTokens = in.readDouble();
                case 6 -> held = in.readDouble();
                case 7 -> queued = in.readDouble();
                default -> in.skipField();
            }
        }
        return new ProbeResult(
                engine, answered, tookMicros, memoryShare, waitingTokens, held, queued);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeString(1, engine)
                .writeBool(2, answered)
                .writeVarint(3, latencyMicros)
                .writeDouble(4, memoryUtilization)
                .writeDouble(5, queuedTokens)
                .writeDouble(6, inFlightRequests)
                .writeDouble(7, queuedRequests);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}

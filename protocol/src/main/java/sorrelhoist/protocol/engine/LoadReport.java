package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * An engine's load.
 *
 * @param memoryUtilization share of memory held, 0 to 1
 * @param queuedTokens tokens that wait to be read or fetched
 * @param inFlightRequests requests it holds, those waiting too
 * @param queuedRequests requests that wait
 */
public record LoadReport(
        double memoryUtilization,
        double queuedTokens,
        double inFlightRequests,
        double queuedRequests) {
    /** {@return the message in these bytes} */
    public static LoadReport parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static LoadReport read(ProtoReader in) throws ProtoException {
        double memoryShare = 0;
        double waitingTokens = 0;
        double held = 0;
        double queued = 0;
        for (int f = in.nextField(); f != 0; f = in.nextField()) {
            switch (f) {
                case 1 -> memoryShare = in.readDouble();
                case 2 -> waitingTokens = in.readDouble();
                case 3 -> held = in.readDouble();
                case 4 -> queued = in.readDouble();
                default -> in.skipField();
            }
        }
        return new LoadReport(memoryShare, waitingTokens, held, queued);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .writeDouble(1, memoryUtilization)
                .writeDouble(2, queuedTokens)
                .writeDouble(3, inFlightRequests)
                .writeDouble(4, queuedRequests);
    }

    /** {@return its bytes} */
    public byte[] toByteArray() {
        return write().toByteArray();
    }
}

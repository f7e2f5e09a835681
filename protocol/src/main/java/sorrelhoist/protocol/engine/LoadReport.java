package sorrelhoist.protocol.engine;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * An engine's load.
 *
 * @param memoryShare share of memory held, 0 to 1
 * @param waitingTokens tokens that wait to be read or fetched
 * @param held requests it holds, those waiting too
 * @param queued requests that wait
 */
public record LoadReport(double memoryShare, double waitingTokens, double held, double queued) {
    /** {@return the message in these bytes} */
    public static LoadReport parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static LoadReport read(ProtoReader in) throws ProtoException {
        double memoryShare = 0;
        double waitingTokens = 0;
        double held = 0;
        double queued = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> memoryShare = in.real();
                case 2 -> waitingTokens = in.real();
                case 3 -> held = in.real();
                case 4 -> queued = in.real();
                default -> in.skip();
            }
        }
        return new LoadReport(memoryShare, waitingTokens, held, queued);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .real(1, memoryShare)
                .real(2, waitingTokens)
                .real(3, held)
                .real(4, queued);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}

package sorrelhoist.protocol.plan;

import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.protobuf.ProtoReader;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * How a probe ended.
 *
 * @param engine its name
 * @param answered whether an answer came
 * @param tookMicros until it came
 * @param memoryShare share of memory held, 0 to 1
 * @param waitingTokens tokens that wait to be read or fetched
 * @param held requests it holds, those waiting too
 * @param queued requests that wait
 */
public record ProbeAnswer(
        String engine,
        boolean answered,
        long tookMicros,
        double memoryShare,
        double waitingTokens,
        double held,
        double queued) {
    /** {@return the message in these bytes} */
    public static ProbeAnswer parse(byte[] bytes) throws ProtoException {
        return read(new ProtoReader(bytes));
    }

    static ProbeAnswer read(ProtoReader in) throws ProtoException {
        String engine = "";
        boolean answered = false;
        long tookMicros = 0;
        double memoryShare = 0;
        double waitingTokens = 0;
        double held = 0;
        double queued = 0;
        for (int f = in.next(); f != 0; f = in.next()) {
            switch (f) {
                case 1 -> engine = in.text();
                case 2 -> answered = in.flag();
                case 3 -> tookMicros = in.integer();
                case 4 -> memoryShare = in.real();
                case 5 -> waitingTokens = in.real();
                case 6 -> held = in.real();
                case 7 -> queued = in.real();
                default -> in.skip();
            }
        }
        return new ProbeAnswer(
                engine, answered, tookMicros, memoryShare, waitingTokens, held, queued);
    }

    ProtoWriter write() {
        return new ProtoWriter()
                .text(1, engine)
                .flag(2, answered)
                .integer(3, tookMicros)
                .real(4, memoryShare)
                .real(5, waitingTokens)
                .real(6, held)
                .real(7, queued);
    }

    /** {@return its bytes} */
    public byte[] bytes() {
        return write().done();
    }
}

package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;

/**
 * Reads lines that end with CR LF however their bytes are cut, within a bound that several lines
 * may share.
 */
final class LineReader {
    private final int most;
    private final String over;
    private final Look look;
    private final StringBuilder line = new StringBuilder();
    private int bytes;

    /**
     * Looks at the part of a line that has come: noise need not hold a line feed, and nothing may
     * follow it.
     */
    interface Look {
        void at(StringBuilder line) throws HttpDecodeException;
    }

    /**
     * Makes a reader.
     *
     * @param most bytes until {@link #more}
     * @param over what to say of more
     * @param look is shown each part of a line as it grows
     */
    LineReader(int most, String over, Look look) {
        this.most = most;
        this.over = over;
        this.look = look;
    }

    /** {@return whether bytes have come since the bound was last set} */
    boolean begun() {
        return bytes > 0;
    }

    /** Sets the bound anew. */
    void more() {
        bytes = 0;
    }

    /** {@return the next line without its end, or null where more bytes are needed} */
    String next(ByteBuf in) throws HttpDecodeException {
        while (in.isReadable()) {
            char c = (char) in.readUnsignedByte();
            if (++bytes > most) {
                throw new HttpDecodeException(431, over);
            }
            if (c == '\n') {
                return ended();
            }
            line.append(c);
            look.at(line);
        }
        return null;
    }

    private String ended() throws HttpDecodeException {
        int end = line.length() - 1;
        if (end < 0 || line.charAt(end) != '\r') {
            throw new HttpDecodeException(400, "a line has to end with CR LF");
        }
        String whole = line.substring(0, end);
        line.setLength(0);
        return whole;
    }
}

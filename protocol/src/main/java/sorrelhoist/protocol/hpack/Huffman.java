package sorrelhoist.protocol.hpack;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The Huffman code of RFC 7541, Appendix B. The code is canonical (codes of equal length ascend
 * with their symbols), so the code lengths define it.
 */
final class Huffman {
    private static final int SYMBOLS = 257;
    private static final int EOS = 256;
    private static final int NIBBLE = 16;
    private static final int MAX_BITS = 30;
    private static final byte[] LENGTHS = {
        13, 23, 28, 28, 28, 28, 28, 28, 28, 24, 30, 28, 28, 30, 28, 28,
        28, 28, 28, 28, 28, 28, 30, 28, 28, 28, 28, 28, 28, 28, 28, 28,
        6, 10, 10, 12, 13, 6, 8, 11, 10, 10, 8, 11, 8, 6, 6, 6,
        5, 5, 5, 6, 6, 6, 6, 6, 6, 6, 7, 8, 15, 6, 12, 10,
        13, 6, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7,
        7, 7, 7, 7, 7, 7, 7, 7, 8, 7, 8, 13, 19, 13, 14, 6,
        15, 5, 6, 5, 6, 5, 6, 6, 6, 5, 7, 7, 6, 6, 6, 5,
        6, 7, 6, 5, 5, 6, 7, 7, 7, 7, 7, 15, 11, 14, 13, 28,
        20, 22, 20, 20, 22, 22, 22, 23, 22, 23, 23, 23, 23, 23, 24, 23,
        24, 24, 22, 23, 24, 23, 23, 23, 23, 21, 22, 23, 22, 23, 23, 24,
        22, 21, 20, 22, 22, 23, 23, 21, 23, 22, 22, 24, 21, 22, 23, 23,
        21, 21, 22, 21, 23, 22, 23, 23, 20, 22, 22, 22, 23, 22, 22, 23,
        26, 26, 20, 19, 22, 23, 22, 25, 26, 26, 26, 27, 27, 26, 24, 25,
        19, 21, 26, 27, 27, 26, 27, 24, 21, 21, 26, 26, 28, 27, 27, 27,
        20, 24, 20, 21, 22, 21, 21, 23, 22, 22, 25, 25, 24, 24, 26, 23,
        26, 27, 26, 26, 27, 27, 27, 27, 27, 28, 27, 27, 27, 27, 27, 26,
        30
    };
    private static final int[] CODES = codes();

    /** The next node for each node and next four bits; -1 if the bits complete EOS. */
    private static final short[] NEXT_NODE = new short[SYMBOLS * NIBBLE];

    /**
     * The symbol completed by each node and next four bits, or -1. At most one symbol can end
     * there, because codes have at least five bits.
     */
    private static final short[] COMPLETED_SYMBOL = new short[SYMBOLS * NIBBLE];

    /**
     * Whether each node may end a string: the bits since the last symbol are fewer than eight and
     * all ones, which is valid padding.
     */
    private static final boolean[] IS_VALID_END = new boolean[SYMBOLS];

    static {
        int[][] tree = tree();
        for (int node = 0; node < tree.length; node++) {
            for (int bits = 0; bits < NIBBLE; bits++) {
                buildTransition(tree, node, bits);
            }
        }
        int node = 0;
        for (int ones = 0; ones < 8 && node >= 0; ones++) {
            IS_VALID_END[node] = true;
            node = tree[node][1];
        }
    }

    private Huffman() {}

    private static int[] codes() {
        int[] codes = new int[SYMBOLS];
        int code = 0;
        for (int bits = 1; bits <= MAX_BITS; bits++) {
            code <<= 1;
            for (int symbol = 0; symbol < SYMBOLS; symbol++) {
                if (LENGTHS[symbol] == bits) {
                    codes[symbol] = code++;
                }
            }
        }
        return codes;
    }

    /**
     * Builds the code tree. Each inner node has two children: the index of an inner node, or -2 -
     * symbol for a leaf.
     */
    private static int[][] tree() {
        int[][] tree = new int[SYMBOLS - 1][2];
        for (int[] node : tree) {
            Arrays.fill(node, -1);
        }
        int nodes = 1;
        for (int symbol = 0; symbol < SYMBOLS; symbol++) {
            int node = 0;
            for (int bit = LENGTHS[symbol] - 1; bit > 0; bit--) {
                int branch = CODES[symbol] >> bit & 1;
                if (tree[node][branch] == -1) {
                    tree[node][branch] = nodes++;
                }
                node = tree[node][branch];
            }
            tree[node][CODES[symbol] & 1] = -2 - symbol;
        }
        return tree;
    }

    private static void buildTransition(int[][] tree, int from, int bits) {
        int at = from * NIBBLE + bits;
        int node = from;
        COMPLETED_SYMBOL[at] = -1;
        for (int bit = 3; bit >= 0; bit--) {
            int next = tree[node][bits >> bit & 1];
            if (next == -2 - EOS) {
                NEXT_NODE[at] = -1;
                return;
            }
            if (next < -1) {
                COMPLETED_SYMBOL[at] = (short) (-2 - next);
                next = 0;
            }
            node = next;
        }
        NEXT_NODE[at] = (short) node;
    }

    /** {@return the length of the encoded text in bytes} */
    static int length(String text) {
        long bits = 0;
        for (int i = 0; i < text.length(); i++) {
            bits += LENGTHS[text.charAt(i) & 0xFF];
        }
        return (int) (bits + 7 >> 3);
    }

    static void encode(String text, ByteBuf out) {
        long pending = 0;
        int bits = 0;
        for (int i = 0; i < text.length(); i++) {
            int symbol = text.charAt(i) & 0xFF;
            pending = pending << LENGTHS[symbol] | CODES[symbol];
            bits += LENGTHS[symbol];
            while (bits >= 8) {
                bits -= 8;
                out.writeByte((int) (pending >> bits));
            }
        }
        if (bits > 0) {
            out.writeByte((int) (pending << 8 - bits | 0xFF >> bits));
        }
    }

    /**
     * Decodes {@code length} bytes.
     *
     * @throws HpackException if the text contains EOS, or its padding is longer than seven bits or
     *     not all ones
     */
    static String decode(ByteBuf in, int length) throws HpackException {
        byte[] text = new byte[length * 8 / 5 + 1];
        int size = 0;
        int node = 0;
        for (int i = 0; i < length; i++) {
            int octet = in.readUnsignedByte();
            for (int shift = 4; shift >= 0; shift -= 4) {
                int at = node * NIBBLE + (octet >> shift & 0xF);
                node = NEXT_NODE[at];
                if (node < 0) {
                    throw new HpackException("EOS in a Huffman-coded string");
                }
                if (COMPLETED_SYMBOL[at] >= 0) {
                    text[size++] = (byte) COMPLETED_SYMBOL[at];
                }
            }
        }
        if (!IS_VALID_END[node]) {
            throw new HpackException("a Huffman-coded string ends in an incomplete code");
        }
        return new String(text, 0, size, StandardCharsets.ISO_8859_1);
    }
}

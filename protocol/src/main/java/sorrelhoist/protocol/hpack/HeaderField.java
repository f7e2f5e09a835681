package sorrelhoist.protocol.hpack;

/**
 * One header field.
 *
 * @param name the name, in lower case as RFC 9113 section 8.2 requires
 * @param value the value, of characters 0 to 255 that are encoded as one byte each
 */
public record HeaderField(String name, String value) {
    /** Octets added to a field's name and value to get its size (RFC 7541 section 4.1). */
    static final int OVERHEAD = 32;

    /** {@return the field's size in octets, as dynamic tables and header list limits count it} */
    public int size() {
        return size(name, value);
    }

    static int size(String name, String value) {
        return name.length() + value.length() + OVERHEAD;
    }
}

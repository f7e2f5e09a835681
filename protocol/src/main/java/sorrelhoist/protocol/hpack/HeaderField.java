package sorrelhoist.protocol.hpack;

/**
 * One header field.
 *
 * @param name lower-case, as RFC 9113 section 8.2 has it
 * @param value characters 0 to 255, one byte each
 */
public record HeaderField(String name, String value) {
    /** Octets that a table counts for a field besides its name and value (RFC 7541 section 4.1). */
    static final int OVERHEAD = 32;

    /** {@return the field's size as tables and header lists count it} */
    public int size() {
        return size(name, value);
    }

    static int size(String name, String value) {
        return name.length() + value.length() + OVERHEAD;
    }
}

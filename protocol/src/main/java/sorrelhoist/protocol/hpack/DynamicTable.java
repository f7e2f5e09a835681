package sorrelhoist.protocol.hpack;

/**
 * The dynamic table of RFC 7541 section 2.3.2: a first-in, first-out list of fields with a size
 * limit in octets. Index 0 is the newest field.
 */
final class DynamicTable {
    private static final int INITIAL_CAPACITY = 16;

    /** A ring buffer whose length is a power of two, so that indices wrap with a bit mask. */
    private HeaderField[] ring = new HeaderField[INITIAL_CAPACITY];

    private int newest;
    private int count;
    private int size;
    private int limit;

    DynamicTable(int limit) {
        this.limit = limit;
    }

    /** {@return the number of fields} */
    int count() {
        return count;
    }

    /** {@return the total size of the fields, in octets as section 4.1 counts them} */
    int size() {
        return size;
    }

    /** {@return the maximum size, in octets} */
    int limit() {
        return limit;
    }

    HeaderField get(int index) {
        return ring[newest - index & ring.length - 1];
    }

    /** Sets the maximum size and evicts the oldest fields that exceed it. */
    void limit(int octets) {
        limit = octets;
        evictTo(limit);
    }

    /**
     * Adds a field and evicts the oldest ones as needed. A field larger than the table empties it
     * and is not added (section 4.4).
     */
    void add(HeaderField field) {
        evictTo(limit - field.size());
        if (field.size() <= limit) {
            if (count == ring.length) {
                grow();
            }
            newest = newest + 1 & ring.length - 1;
            ring[newest] = field;
            count++;
            size += field.size();
        }
    }

    private void evictTo(int octets) {
        while (count > 0 && size > octets) {
            int oldest = newest - count + 1 & ring.length - 1;
            size -= ring[oldest].size();
            ring[oldest] = null;
            count--;
        }
    }

    private void grow() {
        HeaderField[] larger = new HeaderField[2 * ring.length];
        for (int i = 0; i < count; i++) {
            larger[count - 1 - i] = get(i);
        }
        ring = larger;
        newest = count - 1;
    }

    /** {@return the index of the newest equal field, or -1} */
    int find(HeaderField field) {
        for (int i = 0; i < count; i++) {
            if (get(i).equals(field)) {
                return i;
            }
        }
        return -1;
    }

    /** {@return the index of the newest field with the name, or -1} */
    int findName(String name) {
        for (int i = 0; i < count; i++) {
            if (get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}

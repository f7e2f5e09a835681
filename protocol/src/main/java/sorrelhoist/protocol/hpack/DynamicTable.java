package sorrelhoist.protocol.hpack;

/**
 * The dynamic table of RFC 7541 section 2.3.2: first in, first out, bounded by octets. Index 0 is
 * the newest.
 */
final class DynamicTable {
    private static final int INITIAL_CAPACITY = 16;

    /** A power of two long, so that a mask wraps indices. */
    private HeaderField[] ring = new HeaderField[INITIAL_CAPACITY];

    private int newest;
    private int count;
    private int size;
    private int limit;

    DynamicTable(int limit) {
        this.limit = limit;
    }

    /** {@return how many fields it holds} */
    int count() {
        return count;
    }

    /** {@return octets that its fields count} */
    int size() {
        return size;
    }

    /** {@return octets that it may hold} */
    int limit() {
        return limit;
    }

    HeaderField get(int index) {
        return ring[newest - index & ring.length - 1];
    }

    /** Sets how many octets it may hold; the oldest fields give way. */
    void limit(int octets) {
        limit = octets;
        evictTo(limit);
    }

    /** A field larger than the table empties it and is not kept (section 4.4). */
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

    /** {@return the index of an equal field, or -1} */
    int find(HeaderField field) {
        for (int i = 0; i < count; i++) {
            if (get(i).equals(field)) {
                return i;
            }
        }
        return -1;
    }

    /** {@return the index of the newest field of this name, or -1} */
    int findName(String name) {
        for (int i = 0; i < count; i++) {
            if (get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}

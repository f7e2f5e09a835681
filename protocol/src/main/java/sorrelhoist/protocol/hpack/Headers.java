package sorrelhoist.protocol.hpack;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Header fields in their order on the wire; names may repeat. */
public final class Headers implements Iterable<HeaderField> {
    private final List<HeaderField> fields = new ArrayList<>();

    /** Makes an empty list. */
    public Headers() {}

    /**
     * Adds a field at the end.
     *
     * @param name lower-case
     * @param value its value
     * @return this
     */
    public Headers add(String name, String value) {
        return add(new HeaderField(name, value));
    }

    /**
     * Adds a field at the end.
     *
     * @param field the field
     * @return this
     */
    public Headers add(HeaderField field) {
        fields.add(field);
        return this;
    }

    /**
     * Adds all of another list.
     *
     * @param others the fields
     * @return this
     */
    public Headers addAll(Headers others) {
        fields.addAll(others.fields);
        return this;
    }

    /** {@return the first value of this name, or null} */
    public String get(String name) {
        for (HeaderField field : fields) {
            if (field.name().equals(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** {@return the first value of this name, or {@code defaultValue}} */
    public String get(String name, String defaultValue) {
        String value = get(name);
        return value == null ? defaultValue : value;
    }

    /** {@return how many fields there are} */
    public int size() {
        return fields.size();
    }

    /** {@return the fields, in order; not to be changed} */
    public List<HeaderField> fields() {
        return fields;
    }

    @Override
    public Iterator<HeaderField> iterator() {
        return fields.iterator();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Headers headers && headers.fields.equals(fields);
    }

    @Override
    public int hashCode() {
        return fields.hashCode();
    }

    @Override
    public String toString() {
        return fields.toString();
    }
}

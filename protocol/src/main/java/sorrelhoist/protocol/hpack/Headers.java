package sorrelhoist.protocol.hpack;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** A list of header fields in wire order. Names may repeat. */
public final class Headers implements Iterable<HeaderField> {
    private final List<HeaderField> fields = new ArrayList<>();

    /** Creates an empty list. */
    public Headers() {}

    /**
     * Adds a field at the end.
     *
     * @param name the name, in lower case
     * @param value the value
     * @return this object
     */
    public Headers add(String name, String value) {
        return add(new HeaderField(name, value));
    }

    /**
     * Adds a field at the end.
     *
     * @param field the field
     * @return this object
     */
    public Headers add(HeaderField field) {
        fields.add(field);
        return this;
    }

    /**
     * Adds all fields of another list at the end.
     *
     * @param others the fields
     * @return this object
     */
    public Headers addAll(Headers others) {
        fields.addAll(others.fields);
        return this;
    }

    /** {@return the value of the first field with the name, or null} */
    public String get(String name) {
        for (HeaderField field : fields) {
            if (field.name().equals(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** {@return the value of the first field with the name, or {@code defaultValue}} */
    public String get(String name, String defaultValue) {
        String value = get(name);
        return value == null ? defaultValue : value;
    }

    /** {@return the number of fields} */
    public int size() {
        return fields.size();
    }

    /** {@return the fields in order; callers must not modify the list} */
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

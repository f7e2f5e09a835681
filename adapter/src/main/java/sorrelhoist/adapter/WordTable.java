package sorrelhoist.adapter;

import java.util.Map;

/**
 * The strings that an enumerated field of the protocol may hold, with the value of each.
 *
 * @param meanings the value for each string
 */
record WordTable<T>(Map<String, T> meanings) {
    /** {@return the value for the string in a required field of a message} */
    T read(JsonObject message, String field) throws InvalidMessageException {
        return read(field, message.getString(field));
    }

    /** {@return the value for a string that was read from a field} */
    T read(String field, Object word) throws InvalidMessageException {
        T meaning = word == null ? null : meanings.get(word);
        if (meaning == null) {
            throw InvalidMessageException.unknownWord(field, word);
        }
        return meaning;
    }
}

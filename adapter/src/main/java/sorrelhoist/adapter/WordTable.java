package sorrelhoist.adapter;

import java.util.Map;

/**
 * The words that a field of the protocol may hold, each with its meaning.
 *
 * @param meanings the meaning of each word
 */
record WordTable<T>(Map<String, T> meanings) {
    /** {@return the meaning of the word in a required field of a message} */
    T read(JsonObject message, String field) throws InvalidMessageException {
        return read(field, message.getString(field));
    }

    /** {@return the meaning of a word that was found in a field} */
    T read(String field, Object word) throws InvalidMessageException {
        T meaning = word == null ? null : meanings.get(word);
        if (meaning == null) {
            throw InvalidMessageException.unknownWord(field, word);
        }
        return meaning;
    }
}

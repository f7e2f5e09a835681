package sorrelhoist.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * Thrown for a message that violates the protocol: malformed JSON, a missing or mistyped field, a
 * value out of range, an unknown string in an enumerated field. The exception message is one line
 * that names the field and its position.
 */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a one-line description of the violation
     */
    public InvalidMessageException(String message) {
        super(message);
    }

    private InvalidMessageException(String message, Throwable cause) {
        super(message, cause);
    }

    static InvalidMessageException malformedJson(String detail) {
        return new InvalidMessageException("malformed JSON: " + detail);
    }

    static InvalidMessageException malformedJson(JsonProcessingException cause) {
        String detail = cause.getOriginalMessage().replaceAll("\\s+", " ");
        return new InvalidMessageException("malformed JSON: " + detail, cause);
    }

    static InvalidMessageException missingField(String field) {
        return new InvalidMessageException("required field \"" + field + "\" is missing");
    }

    static InvalidMessageException wrongType(String field, String expected) {
        return new InvalidMessageException("field \"" + field + "\" should be " + expected);
    }

    static InvalidMessageException outOfRange(String field) {
        return new InvalidMessageException("field \"" + field + "\" is out of range");
    }

    static InvalidMessageException unknownWord(String field, Object word) {
        return new InvalidMessageException(
                "field \"" + field + "\": unknown word \"" + word + "\"");
    }

    /** {@return an exception for the same violation, with a position prepended to its message} */
    InvalidMessageException at(String place) {
        return new InvalidMessageException(place + ": " + getMessage(), this);
    }
}

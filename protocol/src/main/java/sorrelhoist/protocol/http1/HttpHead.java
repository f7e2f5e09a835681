package sorrelhoist.protocol.http1;

import java.util.Locale;
import java.util.Map;

/**
 * The head of an HTTP/1.1 request or response (RFC 9112).
 *
 * @param method the request's method; empty for responses
 * @param target the request's target; empty for responses
 * @param status the response's status; 0 for requests
 * @param fields the header fields
 */
public record HttpHead(String method, String target, int status, HttpFields fields) {
    /**
     * Creates a head.
     *
     * @param method the request's method; empty for responses
     * @param target the request's target; empty for responses
     * @param status the response's status; 0 for requests
     * @param headers the fields by lower-case name
     */
    public HttpHead(String method, String target, int status, Map<String, String> headers) {
        this(method, target, status, HttpFields.of(headers));
    }

    /**
     * {@return the value of the field with a lower-case name, or null; the values of repeated
     * fields are joined with commas}
     */
    public String header(String name) {
        return fields.get(name);
    }

    /**
     * {@return a new map of all fields by lower-case name, in the order of their arrival; the
     * values of repeated fields are joined with commas}
     */
    public Map<String, String> headers() {
        return fields.toMap();
    }

    /** {@return the memory that the head's text takes, in bytes} */
    public int heldBytes() {
        return method.length() + target.length() + fields.heldBytes();
    }

    /** {@return the path of the target, without the query} */
    public String path() {
        return pathOf(target);
    }

    /** {@return whether the connection stays open for another message (RFC 9112, section 9.3)} */
    public boolean isKeepAlive() {
        return isKeepAlive(header("connection"));
    }

    static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    static boolean isKeepAlive(String connection) {
        return connection == null || !connection.toLowerCase(Locale.ROOT).contains("close");
    }
}

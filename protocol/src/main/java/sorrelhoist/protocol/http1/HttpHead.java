package sorrelhoist.protocol.http1;

import java.util.Locale;
import java.util.Map;

/**
 * The head of an HTTP/1.1 request or response (RFC 9112).
 *
 * @param method the request's method; empty for responses
 * @param target the request's target; empty for responses
 * @param status the response's status; 0 for requests
 * @param headers the fields by lower-case name; the values of repeated fields are joined with
 *     commas
 */
public record HttpHead(String method, String target, int status, Map<String, String> headers) {
    /** {@return the value of the field with a lower-case name, or null} */
    public String header(String name) {
        return headers.get(name);
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

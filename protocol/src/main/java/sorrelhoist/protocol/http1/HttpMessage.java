package sorrelhoist.protocol.http1;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * A request or a response of HTTP/1.1 (RFC 9112), whole.
 *
 * @param method the request's method; empty for responses
 * @param target the request's target; empty for responses
 * @param status the response's status; 0 for requests
 * @param headers fields by lower-case name; the values of repeated ones are joined with commas
 * @param body the content
 */
public record HttpMessage(
        String method, String target, int status, Map<String, String> headers, byte[] body) {
    /** {@return a request} */
    public static HttpMessage request(
            String method, String target, Map<String, String> headers, byte[] body) {
        return new HttpMessage(method, target, 0, headers, body);
    }

    /** {@return a response} */
    public static HttpMessage response(int status, String contentType, String body) {
        return new HttpMessage(
                "",
                "",
                status,
                contentType.isEmpty() ? Map.of() : Map.of("content-type", contentType),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** {@return a field's value, or null} */
    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** {@return the target's path, without its query} */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** {@return a value of the target's query, or null} */
    public String queryParameter(String name) {
        int query = target.indexOf('?');
        if (query < 0) {
            return null;
        }
        for (String pair : target.substring(query + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).equals(name)) {
                return java.net.URLDecoder.decode(
                        pair.substring(equals + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }

    /** {@return the content as text} */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    boolean keepsAlive() {
        String connection = header("connection");
        return connection == null || !connection.toLowerCase(Locale.ROOT).contains("close");
    }
}

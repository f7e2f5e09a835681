package sorrelhoist.protocol.http1;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * A complete HTTP/1.1 request or response (RFC 9112).
 *
 * @param method the request's method; empty for responses
 * @param target the request's target; empty for responses
 * @param status the response's status; 0 for requests
 * @param headers the fields by lower-case name; the values of repeated fields are joined with
 *     commas
 * @param body the content
 */
public record HttpMessage(
        String method, String target, int status, Map<String, String> headers, byte[] body) {
    /**
     * Creates a request.
     *
     * @param method the method
     * @param target the target, including the query
     * @param headers the fields by lower-case name
     * @param body the content
     * @return the request
     */
    public static HttpMessage request(
            String method, String target, Map<String, String> headers, byte[] body) {
        return new HttpMessage(method, target, 0, headers, body);
    }

    /**
     * Creates a response.
     *
     * @param status the status
     * @param contentType the value of content-type; empty to omit the field
     * @param body the content
     * @return the response
     */
    public static HttpMessage response(int status, String contentType, String body) {
        Map<String, String> headers =
                contentType.isEmpty() ? Map.of() : Map.of("content-type", contentType);
        return new HttpMessage("", "", status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** {@return the value of the field with a name in any case, or null} */
    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** {@return the path of the target, without the query} */
    public String path() {
        return HttpHead.pathOf(target);
    }

    /** {@return the decoded value of a query parameter, or null} */
    public String queryParameter(String name) {
        int query = target.indexOf('?');
        if (query < 0) {
            return null;
        }
        for (String pair : target.substring(query + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).equals(name)) {
                return URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }

    /** {@return the content decoded as UTF-8} */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    boolean isKeepAlive() {
        return HttpHead.isKeepAlive(header("connection"));
    }
}

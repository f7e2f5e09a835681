package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Encodes HTTP/1.1 messages whose content length is known. */
final class HttpMessageEncoder {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private HttpMessageEncoder() {}

    /** {@return the encoded request to a host, with connection: close} */
    static ByteBuf encodeRequest(ByteBufAllocator allocator, HttpMessage request, String host) {
        StringBuilder head =
                new StringBuilder(256)
                        .append(request.method())
                        .append(' ')
                        .append(request.target())
                        .append(" HTTP/1.1\r\nhost: ")
                        .append(host)
                        .append("\r\n");
        return encode(allocator, head, request, true);
    }

    /**
     * Encodes a response.
     *
     * @param allocator allocator of the returned buffer
     * @param response the response
     * @param close whether to add connection: close
     * @return the encoded response, owned by the caller
     */
    static ByteBuf encodeResponse(ByteBufAllocator allocator, HttpMessage response, boolean close) {
        StringBuilder head =
                new StringBuilder(256)
                        .append("HTTP/1.1 ")
                        .append(response.status())
                        .append(' ')
                        .append(reasonPhrase(response.status()))
                        .append("\r\n");
        return encode(allocator, head, response, close);
    }

    private static ByteBuf encode(
            ByteBufAllocator allocator, StringBuilder head, HttpMessage message, boolean close) {
        message.headers()
                .forEach(
                        (name, value) ->
                                head.append(name).append(": ").append(value).append("\r\n"));
        byte[] body = message.body();
        if (message.status() != NO_CONTENT && message.status() != NOT_MODIFIED) {
            head.append("content-length: ").append(body.length).append("\r\n");
        }
        if (close) {
            head.append("connection: close\r\n");
        }
        head.append("\r\n");
        return allocator
                .buffer(head.length() + body.length)
                .writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1))
                .writeBytes(body);
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case NO_CONTENT -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}

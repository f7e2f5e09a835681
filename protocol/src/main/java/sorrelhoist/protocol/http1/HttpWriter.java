package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** Writes HTTP/1.1 messages, content by its length. */
final class HttpWriter {
    private HttpWriter() {}

    static ByteBuf write(ByteBufAllocator alloc, HttpMessage m, String host, boolean close) {
        StringBuilder head = new StringBuilder(256);
        if (m.status() == 0) {
            head.append(m.method())
                    .append(' ')
                    .append(m.target())
                    .append(" HTTP/1.1\r\nhost: ")
                    .append(host)
                    .append("\r\n");
        } else {
            head.append("HTTP/1.1 ")
                    .append(m.status())
                    .append(' ')
                    .append(reason(m.status()))
                    .append("\r\n");
        }
        m.headers()
                .forEach(
                        (name, value) ->
                                head.append(name).append(": ").append(value).append("\r\n"));
        if (m.status() != 204 && m.status() != 304) {
            head.append("content-length: ").append(m.body().length).append("\r\n");
        }
        if (close) {
            head.append("connection: close\r\n");
        }
        head.append("\r\n");
        return alloc.buffer(head.length() + m.body().length)
                .writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1))
                .writeBytes(m.body());
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}

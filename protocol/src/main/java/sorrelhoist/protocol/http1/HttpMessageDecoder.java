package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Parses HTTP/1.1 messages (RFC 9112) however their bytes are cut. What two readers could take for
 * two different things is refused: bare line feeds in the head, white space before a colon,
 * content-length beside chunked.
 */
public final class HttpMessageDecoder {
    private static final int MAX_HEAD = 16 << 10;
    private final int maxBody;
    private final HttpHeadDecoder heads;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private HttpHead head;
    private HttpBodyDecoder body;

    /**
     * Makes a parser.
     *
     * @param requests whether requests are expected, or responses
     * @param maxBody bytes of content taken at most
     */
    public HttpMessageDecoder(boolean requests, int maxBody) {
        this.heads = new HttpHeadDecoder(requests, MAX_HEAD);
        this.maxBody = maxBody;
    }

    /** {@return the next whole message, or null where more bytes are needed} */
    public HttpMessage next(ByteBuf in) throws HttpDecodeException {
        if (head == null) {
            head = heads.next(in);
            if (head == null) {
                return null;
            }
            body = HttpBodyDecoder.forHead(head);
            grow(body.declaredLength());
        }
        for (ByteBuf part = body.next(in); part != null; part = body.next(in)) {
            grow(part.readableBytes());
            byte[] bytes = new byte[part.readableBytes()];
            part.readBytes(bytes);
            content.writeBytes(bytes);
        }
        return body.isComplete() ? done() : null;
    }

    /** {@return the message that ends with its connection, or null where there is none} */
    public HttpMessage completeAtClose() {
        return head != null && body.endsWithConnection() ? done() : null;
    }

    private void grow(long more) throws HttpDecodeException {
        if (content.size() + more > maxBody) {
            throw new HttpDecodeException(413, "content of more than " + maxBody + " bytes");
        }
    }

    private HttpMessage done() {
        HttpMessage message =
                new HttpMessage(
                        head.method(),
                        head.target(),
                        head.status(),
                        head.headers(),
                        content.toByteArray());
        head = null;
        body = null;
        content.reset();
        return message;
    }
}

package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Decodes complete HTTP/1.1 messages (RFC 9112) however their bytes are cut. What two decoders
 * could take for two different things is an error: bare line feeds in the head, white space before
 * a colon, content-length beside chunked.
 */
public final class HttpMessageDecoder {
    private static final int MAX_HEAD_BYTES = 16 << 10;
    private final int maxBodyBytes;
    private final HttpHeadDecoder headDecoder;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();

    /** The head of the message that is being decoded; null between messages. */
    private HttpHead head;

    private HttpBodyDecoder bodyDecoder;

    /**
     * Creates a decoder at the start of a message.
     *
     * @param requests whether requests are expected, or responses
     * @param maxBodyBytes limit of a message's content, in bytes
     */
    public HttpMessageDecoder(boolean requests, int maxBodyBytes) {
        this.headDecoder = new HttpHeadDecoder(requests, MAX_HEAD_BYTES);
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Decodes on.
     *
     * @param in bytes as they arrived; read as far as the end of a message
     * @return the next complete message, or null where more bytes are needed
     * @throws HttpDecodeException where the bytes are no message, or it exceeds a limit
     */
    public HttpMessage next(ByteBuf in) throws HttpDecodeException {
        if (head == null) {
            head = headDecoder.next(in);
            if (head == null) {
                return null;
            }
            bodyDecoder = HttpBodyDecoder.forHead(head);
            checkContentLimit(bodyDecoder.declaredLength());
        }
        for (ByteBuf part = bodyDecoder.next(in); part != null; part = bodyDecoder.next(in)) {
            checkContentLimit(part.readableBytes());
            byte[] bytes = new byte[part.readableBytes()];
            part.readBytes(bytes);
            content.writeBytes(bytes);
        }
        return bodyDecoder.isComplete() ? takeMessage() : null;
    }

    /** {@return the message that ends with its connection, or null where there is none} */
    public HttpMessage completeAtClose() {
        return head != null && bodyDecoder.endsWithConnection() ? takeMessage() : null;
    }

    private void checkContentLimit(long additionalBytes) throws HttpDecodeException {
        if (content.size() + additionalBytes > maxBodyBytes) {
            throw new HttpDecodeException(
                    HttpDecodeException.CONTENT_TOO_LARGE,
                    "content of more than " + maxBodyBytes + " bytes");
        }
    }

    private HttpMessage takeMessage() {
        HttpMessage message =
                new HttpMessage(
                        head.method(),
                        head.target(),
                        head.status(),
                        head.headers(),
                        content.toByteArray());
        head = null;
        bodyDecoder = null;
        content.reset();
        return message;
    }
}

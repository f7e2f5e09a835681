package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Decodes complete HTTP/1.1 messages (RFC 9112) incrementally. Rejects input that two decoders
 * could interpret differently: bare line feeds in the head, white space before a colon,
 * content-length together with chunked transfer coding.
 */
public final class HttpMessageDecoder {
    private static final int MAX_HEAD_BYTES = 16 << 10;
    private final int maxBodyBytes;
    private final HttpHeadDecoder headDecoder;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();

    /** The head of the current message; null between messages. */
    private HttpHead head;

    private HttpBodyDecoder bodyDecoder;

    /**
     * Creates a decoder at the start of a message.
     *
     * @param requests true to decode requests, false to decode responses
     * @param maxBodyBytes maximum size of a message's content, in bytes
     */
    public HttpMessageDecoder(boolean requests, int maxBodyBytes) {
        this.headDecoder = new HttpHeadDecoder(requests, MAX_HEAD_BYTES);
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Decodes the next message.
     *
     * @param in the received bytes, which are read up to the end of a message
     * @return the next complete message, or null if more bytes are needed
     * @throws HttpDecodeException if the message is invalid or exceeds a limit
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
        return bodyDecoder.isComplete() ? completeMessage() : null;
    }

    /**
     * {@return the message whose content ends when the connection is closed, or null if there is
     * none}
     */
    public HttpMessage completeAtClose() {
        return head != null && bodyDecoder.endsWithConnection() ? completeMessage() : null;
    }

    private void checkContentLimit(long additionalBytes) throws HttpDecodeException {
        if (content.size() + additionalBytes > maxBodyBytes) {
            throw new HttpDecodeException(
                    HttpDecodeException.CONTENT_TOO_LARGE,
                    "content of more than " + maxBodyBytes + " bytes");
        }
    }

    private HttpMessage completeMessage() {
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

package sorrelhoist.core.statetransfer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates the messages of transfers between routers: HMAC-SHA256 (RFC 2104) over sender,
 * recipient, the transfer's number, the message's place in it, and its content.
 *
 * <p>Keys rotate: the first of the list signs, all of it verify. A new key is added last at every
 * router, then moved to the front, then the old one is removed.
 */
public final class MessageAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_BYTES = 16;

    private final Map<String, SecretKeySpec> keys = new LinkedHashMap<>();
    private final String signingKeyId;

    /**
     * Creates an authenticator.
     *
     * @param secrets by key id, the signing one first
     * @throws IllegalArgumentException where there is none, or one is shorter than 16 bytes
     */
    public MessageAuthenticator(Map<String, String> secrets) {
        secrets.forEach((id, secret) -> keys.put(id, key(id, secret)));
        signingKeyId =
                keys.keySet().stream()
                        .findFirst()
                        .orElseThrow(() -> new IllegalArgumentException("give one key at least"));
    }

    private static SecretKeySpec key(String id, String secret) {
        byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "key \""
                            + id
                            + "\" has "
                            + bytes.length
                            + " bytes: give "
                            + MIN_KEY_BYTES
                            + " or more");
        }
        return new SecretKeySpec(bytes, ALGORITHM);
    }

    /** {@return the id of the key that signs} */
    public String signingKeyId() {
        return signingKeyId;
    }

    /**
     * Signs a message.
     *
     * @param from the sender's name
     * @param to the recipient's name
     * @param exchange the transfer's number
     * @param index the message's place in the transfer, from 0
     * @param piece its content
     * @return its tag
     */
    public byte[] sign(String from, String to, long exchange, int index, byte[] piece) {
        return tag(keys.get(signingKeyId), from, to, exchange, index, piece);
    }

    /**
     * Verifies a message, in a time that does not depend on where its tag differs.
     *
     * @param keyId of the key that signed it
     * @param tag as received
     * @param from the sender's name
     * @param to the recipient's name
     * @param exchange the transfer's number
     * @param index the message's place in the transfer, from 0
     * @param piece its content
     * @return whether the tag is right
     */
    public boolean verify(
            String keyId,
            byte[] tag,
            String from,
            String to,
            long exchange,
            int index,
            byte[] piece) {
        SecretKeySpec key = keys.get(keyId);
        return key != null
                && MessageDigest.isEqual(tag, tag(key, from, to, exchange, index, piece));
    }

    private static byte[] tag(
            SecretKeySpec key, String from, String to, long exchange, int index, byte[] piece) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            updateWithName(mac, from);
            updateWithName(mac, to);
            mac.update(
                    ByteBuffer.allocate(Long.BYTES + 2 * Integer.BYTES)
                            .putLong(exchange)
                            .putInt(index)
                            .putInt(piece.length)
                            .flip());
            return mac.doFinal(piece);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("every JDK has " + ALGORITHM, e);
        }
    }

    /** The length goes first, so that no two pairs of names give the same bytes. */
    private static void updateWithName(Mac mac, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        mac.update(bytes);
    }
}

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
 * Authenticates the messages of transfers between routers with HMAC-SHA256 (RFC 2104) over the
 * sender, the recipient, the number of the transfer, the index of the message in the transfer, and
 * the content.
 *
 * <p>Keys can be rotated: the first configured key signs, and every configured key verifies. A new
 * key is appended at every router, then moved to the front at every router, then the old key is
 * removed.
 */
public final class MessageAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_BYTES = 16;

    private final Map<String, SecretKeySpec> keys = new LinkedHashMap<>();
    private final String signingKeyId;

    /**
     * Creates an authenticator.
     *
     * @param secrets secrets by key id, the signing key first
     * @throws IllegalArgumentException if there is no secret, or one is shorter than 16 bytes
     */
    public MessageAuthenticator(Map<String, String> secrets) {
        secrets.forEach((id, secret) -> keys.put(id, key(id, secret)));
        signingKeyId =
                keys.keySet().stream()
                        .findFirst()
                        .orElseThrow(
                                () -> new IllegalArgumentException("at least one key is required"));
    }

    private static SecretKeySpec key(String id, String secret) {
        byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "key \""
                            + id
                            + "\" has "
                            + bytes.length
                            + " bytes; at least "
                            + MIN_KEY_BYTES
                            + " are required");
        }
        return new SecretKeySpec(bytes, ALGORITHM);
    }

    /** {@return the id of the signing key} */
    public String signingKeyId() {
        return signingKeyId;
    }

    /**
     * Signs a message.
     *
     * @param from the sender's name
     * @param to the recipient's name
     * @param transferId number of the transfer
     * @param index index of the message in the transfer, from 0
     * @param content content of the message
     * @return the message's authentication tag
     */
    public byte[] sign(String from, String to, long transferId, int index, byte[] content) {
        return tag(keys.get(signingKeyId), from, to, transferId, index, content);
    }

    /**
     * Verifies a message. The time of the comparison does not depend on where the tags differ.
     *
     * @param keyId id of the key that signed the message
     * @param tag the received authentication tag
     * @param from the sender's name
     * @param to the recipient's name
     * @param transferId number of the transfer
     * @param index index of the message in the transfer, from 0
     * @param content content of the message
     * @return whether the key is known and the tag is correct
     */
    public boolean verify(
            String keyId,
            byte[] tag,
            String from,
            String to,
            long transferId,
            int index,
            byte[] content) {
        SecretKeySpec key = keys.get(keyId);
        return key != null
                && MessageDigest.isEqual(tag, tag(key, from, to, transferId, index, content));
    }

    private static byte[] tag(
            SecretKeySpec key, String from, String to, long transferId, int index, byte[] content) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            updateWithName(mac, from);
            updateWithName(mac, to);
            mac.update(
                    ByteBuffer.allocate(Long.BYTES + 2 * Integer.BYTES)
                            .putLong(transferId)
                            .putInt(index)
                            .putInt(content.length)
                            .flip());
            return mac.doFinal(content);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            // Every JDK provides the algorithm, and any key is valid for it.
            throw new IllegalStateException("cannot compute " + ALGORITHM, e);
        }
    }

    /** Includes the name's length, so that no two pairs of names result in the same bytes. */
    private static void updateWithName(Mac mac, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        mac.update(bytes);
    }
}

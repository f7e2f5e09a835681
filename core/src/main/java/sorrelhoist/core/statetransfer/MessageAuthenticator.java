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
 * Authenticates what routers teach each other: HMAC-SHA256 (RFC 2104) over who speaks to whom, the
 * exchange's own number, the place of the piece in it, and the piece. Keys rotate: the first of the
 * list signs, all of it verify, so a new key is added behind at every router, then moved to the
 * front, then the old one is removed.
 */
public final class MessageAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int LEAST_KEY = 16;
    private final Map<String, SecretKeySpec> keys = new LinkedHashMap<>();
    private final String signing;

    /**
     * Makes it.
     *
     * @param secrets by key id, the signing one first
     * @throws IllegalArgumentException where there is none, or one is shorter than 16 bytes
     */
    public MessageAuthenticator(Map<String, String> secrets) {
        secrets.forEach(
                (id, secret) -> {
                    byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
                    if (bytes.length < LEAST_KEY) {
                        throw new IllegalArgumentException(
                                "key \""
                                        + id
                                        + "\" has "
                                        + bytes.length
                                        + " bytes: give "
                                        + LEAST_KEY
                                        + " or more");
                    }
                    keys.put(id, new SecretKeySpec(bytes, ALGORITHM));
                });
        signing =
                keys.keySet().stream()
                        .findFirst()
                        .orElseThrow(() -> new IllegalArgumentException("give one key at least"));
    }

    /** {@return the id of the key that signs} */
    public String signingKeyId() {
        return signing;
    }

    /** {@return the tag of a piece} */
    public byte[] sign(String from, String to, long exchange, int index, byte[] piece) {
        return tag(keys.get(signing), from, to, exchange, index, piece);
    }

    /** {@return whether the tag is right; in a time that does not depend on where it differs} */
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
            for (String name : new String[] {from, to}) {
                byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
                mac.update(ByteBuffer.allocate(4).putInt(bytes.length).array());
                mac.update(bytes);
            }
            mac.update(
                    ByteBuffer.allocate(16)
                            .putLong(exchange)
                            .putInt(index)
                            .putInt(piece.length)
                            .array());
            return mac.doFinal(piece);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("every JDK has " + ALGORITHM, e);
        }
    }
}

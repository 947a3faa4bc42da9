package io.anvilpick.config;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

/** Creates and verifies Ed25519 signatures of operators. Keys and signatures are Base64 text. */
public final class Signatures {
    private static final String ALGORITHM = "Ed25519";

    /** The key pair of an operator, each key in Base64. */
    public record Keys(String privateKey, String publicKey) {
        /** Returns a text without the private key. */
        @Override
        public String toString() {
            return "Keys[publicKey=" + publicKey + "]";
        }
    }

    private Signatures() {}

    /** Generates a new key pair. */
    public static Keys newKeys() {
        try {
            KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
            return new Keys(
                    encode(pair.getPrivate().getEncoded()),
                    encode(pair.getPublic().getEncoded()));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the JDK lacks " + ALGORITHM, e);
        }
    }

    /**
     * Returns the signature of {@code text}.
     *
     * @throws ConfigurationException if {@code privateKey} is not an Ed25519 key in Base64
     */
    public static String sign(String privateKey, String text) throws ConfigurationException {
        try {
            PrivateKey key =
                    KeyFactory.getInstance(ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(decode(privateKey)));
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(text.getBytes(StandardCharsets.UTF_8));
            return encode(signature.sign());
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new ConfigurationException("private key: not an Ed25519 key in Base64");
        }
    }

    /** Returns whether {@code text} is an Ed25519 public key in Base64. */
    public static boolean isPublicKey(String text) {
        try {
            KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(decode(text)));
            return true;
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns whether {@code signature} is the signature of {@code text} by the owner of {@code publicKey}. */
    public static boolean isValid(String publicKey, String text, String signature) {
        try {
            Signature verifier = Signature.getInstance(ALGORITHM);
            verifier.initVerify(
                    KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(decode(publicKey))));
            verifier.update(text.getBytes(StandardCharsets.UTF_8));
            return verifier.verify(decode(signature));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    private static byte[] decode(String text) {
        return Base64.getDecoder().decode(text);
    }
}

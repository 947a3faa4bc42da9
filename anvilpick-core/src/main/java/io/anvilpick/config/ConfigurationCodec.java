package io.anvilpick.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Turns configuration records into stored text and back. Thread safe.
 *
 * <p>The same record always gives the same text, so that equal parts have equal digests.
 */
public final class ConfigurationCodec {
    private static final int DIGEST_CHARACTERS = 32;

    private final JsonMapper mapper = JsonMapper.builder()
            .addModule(new GuavaModule())
            .addModule(new Jdk8Module())
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    /** Returns the text of {@code part}. */
    public String encode(Object part) {
        try {
            return mapper.writeValueAsString(part);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("part cannot be encoded: " + part.getClass(), e);
        }
    }

    /**
     * Returns the record of class {@code type} that {@code text} stands for.
     *
     * @throws ConfigurationException if the text is not such a record; {@code what} names the part in the message
     */
    public <T> T decode(String what, String text, Class<T> type) throws ConfigurationException {
        try {
            T decoded = mapper.readValue(text, type);
            if (decoded == null) {
                throw new ConfigurationException(what + ": is null");
            }
            return decoded;
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(what + ": " + e.getOriginalMessage());
        }
    }

    /** Returns the digest that names {@code text}: 128 bits of its SHA-256 in hexadecimal. */
    public static String digest(String text) {
        return Hashing.sha256()
                .hashString(text, StandardCharsets.UTF_8)
                .toString()
                .substring(0, DIGEST_CHARACTERS);
    }
}

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
 * Encodes configuration records as JSON text and decodes them. Thread safe.
 *
 * <p>Equal records always have the same text, and therefore the same digest.
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

    /** Returns the JSON text of {@code part}. */
    public String encode(Object part) {
        try {
            return mapper.writeValueAsString(part);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("part cannot be encoded: " + part.getClass(), e);
        }
    }

    /**
     * Returns the record of class {@code type} that {@code text} encodes.
     *
     * @param partName name of the part in error messages
     * @throws ConfigurationException if the text does not encode such a record
     */
    public <T> T decode(String partName, String text, Class<T> type) throws ConfigurationException {
        try {
            T decoded = mapper.readValue(text, type);
            if (decoded == null) {
                throw new ConfigurationException(partName + ": is null");
            }
            return decoded;
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(partName + ": " + e.getOriginalMessage());
        }
    }

    /** Returns the digest that identifies {@code text}: the first 128 bits of its SHA-256, in hexadecimal. */
    public static String digest(String text) {
        return Hashing.sha256()
                .hashString(text, StandardCharsets.UTF_8)
                .toString()
                .substring(0, DIGEST_CHARACTERS);
    }
}

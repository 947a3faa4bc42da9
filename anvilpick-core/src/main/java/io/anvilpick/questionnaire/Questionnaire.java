package io.anvilpick.questionnaire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.Contract;
import io.anvilpick.config.Operator;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.Signatures;
import io.anvilpick.config.TenantConfig;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Generates a configuration from a questionnaire. */
public final class Questionnaire {
    private static final int MAX_WEIGHT = 1_000;
    private static final YAMLMapper YAML = YAMLMapper.builder(YAMLFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .build();

    private final List<FieldError> errors = new ArrayList<>();
    private final Set<String> zones = new HashSet<>();

    private Questionnaire() {}

    /**
     * Returns the configuration generated from the questionnaire in {@code yaml}.
     *
     * @param contractEpoch epoch of the contract to generate
     * @throws QuestionnaireException with all errors found
     */
    public static Configuration generate(String yaml, long contractEpoch) throws QuestionnaireException {
        Questionnaire questionnaire = new Questionnaire();
        Configuration configuration = questionnaire.read(parse(yaml), contractEpoch);
        if (!questionnaire.errors.isEmpty()) {
            throw new QuestionnaireException(questionnaire.errors);
        }
        return configuration;
    }

    private static JsonNode parse(String yaml) throws QuestionnaireException {
        try {
            JsonNode root = YAML.readTree(yaml);
            return root == null ? YAML.missingNode() : root;
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null
                    ? "?"
                    : String.valueOf(e.getLocation().getLineNr());
            String reason = e.getOriginalMessage().lines().findFirst().orElse("is not valid YAML");
            throw new QuestionnaireException(List.of(new FieldError("line " + line, "", reason)));
        } catch (RuntimeException e) {
            // The YAML library throws unchecked exceptions for some malformed input, such as excessive nesting.
            throw new QuestionnaireException(List.of(new FieldError("questionnaire", "", "is not valid YAML")));
        }
    }

    private Configuration read(JsonNode rootNode, long contractEpoch) {
        Section root = new Section("", rootNode, errors);
        Contract contract = root.section("contract")
                .map(section -> readContract(section, contractEpoch))
                .orElse(null);
        zones.addAll(root.texts("zones"));
        ImmutableList<TenantConfig> tenants = readTenants(root);
        ImmutableSortedMap<String, ServiceConfig> services = readServices(root);
        root.rejectUnknownFields();
        return contract == null ? null : new Configuration(contract, tenants, services);
    }

    private Contract readContract(Section section, long epoch) {
        Operator operator = readOperator(section);
        String term = section.text("term");
        long endsAtMillis = section.instant("endsAt").toEpochMilli();
        Optional<Operator> next =
                section.has("next") ? section.section("next").map(this::readNextOperator) : Optional.empty();
        section.rejectUnknownFields();
        return operator == null ? null : new Contract(operator, term, epoch, endsAtMillis, next);
    }

    private Operator readNextOperator(Section section) {
        Operator operator = readOperator(section);
        section.rejectUnknownFields();
        return operator;
    }

    private Operator readOperator(Section section) {
        String name = section.name("operator");
        String publicKey = section.text("publicKey");
        if (!publicKey.isEmpty() && !Signatures.isPublicKey(publicKey)) {
            section.addError("publicKey", publicKey, "must be a public key as printed by anvilpick keys");
            return null;
        }
        return name.isEmpty() || publicKey.isEmpty() ? null : new Operator(name, publicKey);
    }

    private ImmutableList<TenantConfig> readTenants(Section root) {
        ImmutableList.Builder<TenantConfig> tenants = ImmutableList.builder();
        Set<String> names = new HashSet<>();
        for (Section section : root.sections("tenants")) {
            String name = section.name("name");
            int weight = section.wholeNumber("weight", 1, MAX_WEIGHT);
            section.rejectUnknownFields();
            if (!name.isEmpty() && !names.add(name)) {
                section.addError("name", name, "is used twice");
                continue;
            }
            if (!name.isEmpty()) {
                tenants.add(new TenantConfig(name, weight));
            }
        }
        return tenants.build();
    }

    private ImmutableSortedMap<String, ServiceConfig> readServices(Section root) {
        TreeMap<String, ServiceConfig> services = new TreeMap<>();
        ServiceReader reader = new ServiceReader(zones);
        for (Section section : root.sections("services")) {
            int errorsBefore = errors.size();
            Optional<ServiceConfig> service = reader.read(section);
            if (errors.size() > errorsBefore || service.isEmpty()) {
                continue;
            }
            if (services.putIfAbsent(service.get().name(), service.get()) != null) {
                section.addError("name", service.get().name(), "is used twice");
            }
        }
        return ImmutableSortedMap.copyOfSorted(services);
    }
}

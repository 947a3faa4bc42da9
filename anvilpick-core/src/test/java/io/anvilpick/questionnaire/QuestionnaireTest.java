package io.anvilpick.questionnaire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.config.Configuration;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.Samples;
import io.anvilpick.config.ServiceConfig;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class QuestionnaireTest {
    private static final String VALID = """
            contract:
              operator: plazhna
              publicKey: %s
              term: season
              endsAt: 2027-10-01T00:00:00Z
            zones: [a, b]
            tenants: [{name: burgas, weight: 3}]
            services:
              - name: tillhand
                slotsPerTarget: 4
                connectionsPerTarget: 220
                measuringBudgetPercent: 0.5
                callsPerSecond: 12000
                rememberKeysFor: 24h
                requests:
                  - {name: charge, method: POST, path: /charges, nonIdempotent: yes, answerWithin: 3s, urgency: high}
                  - {name: tally, method: GET, path: /tallies, answerWithin: 500ms, urgency: low}
                targets:
                  - {id: t1, address: "10.0.0.1:8080", zone: a}
                  - {id: t2, address: "10.0.0.2:8080", zone: b, leaving: yes}
            """.formatted(Samples.FIRST.publicKey());

    private static List<FieldError> errorsOf(String yaml) {
        return assertThrows(QuestionnaireException.class, () -> Questionnaire.generate(yaml, 1))
                .errors();
    }

    private static void assertError(String yaml, String field, String reason) {
        assertTrue(
                errorsOf(yaml).stream()
                        .anyMatch(error ->
                                error.field().equals(field) && error.reason().contains(reason)),
                () -> errorsOf(yaml).toString());
    }

    @Test
    void configurationMatchesTheQuestionnaire() throws Exception {
        Configuration configuration = Questionnaire.generate(VALID, 7);
        assertEquals(7, configuration.contract().epoch());
        assertEquals(3, configuration.weightOf("burgas"));
        assertEquals(1, configuration.weightOf("unlisted"));
        ServiceConfig service = configuration.service("tillhand").orElseThrow();
        assertEquals(5, service.measuringPerMille());
        assertEquals(3, service.homes());
        assertEquals(86_400_000L, service.keyMemoryMillis());
        RequestConfig charge = service.requestFor("POST", "/charges/7").orElseThrow();
        assertFalse(charge.idempotent());
        assertTrue(charge.keyRequired());
        assertTrue(service.targets().get(1).leaving());
        assertTrue(service.requestFor("DELETE", "/charges").isEmpty());
    }

    @Test
    void everyErrorIsListedWithFieldAndReason() {
        String bad = VALID.replace("slotsPerTarget: 4", "slotsPerTarget: 0")
                .replace("10.0.0.1:8080", "not an address")
                .replace("answerWithin: 500ms", "answerWithin: soon")
                .replace("zone: b", "zone: c");
        assertEquals(4, errorsOf(bad).size(), () -> errorsOf(bad).toString());
        assertError(bad, "services[0].slotsPerTarget", "from 1");
        assertError(bad, "services[0].targets[0].address", "IP address and port");
        assertError(bad, "services[0].requests[1].answerWithin", "such as 250ms");
        assertError(bad, "services[0].targets[1].zone", "must be one of the zones of the questionnaire");
    }

    @Test
    void misspelledAndDuplicateFieldsAreErrors() {
        assertError(VALID.replace("slotsPerTarget", "slotPerTarget"), "services[0].slotPerTarget", "is not a field");
        assertError(VALID.replace("id: t2", "id: t1"), "services[0].targets[1].id", "used twice");
        assertError(VALID.replace("10.0.0.2", "10.0.0.1"), "services[0].targets[1].address", "used twice");
        assertError(VALID.replace("operator: plazhna", "operator: Plazhna Smetka"), "contract.operator", "lower-case");
        assertError(VALID.replace("publicKey: ", "publicKey: x"), "contract.publicKey", "anvilpick keys");
        assertError(VALID.replace("zones: [a, b]", "zones: []"), "zones", "one entry");
        assertError(VALID.replace("services:", "services: none\nother:"), "services", "must be a list");
    }

    @Test
    void malformedYamlIsReportedAsOneError() {
        assertEquals(1, errorsOf("contract: {operator: [").size());
        assertTrue(errorsOf("a: 1\na: 2").get(0).toString().contains("Duplicate"));
    }

    @Property(tries = 500, seed = "11")
    void anyTextIsReadOrRejected(@ForAll String text) {
        try {
            Questionnaire.generate(text, 1);
        } catch (QuestionnaireException e) {
            assertFalse(e.errors().isEmpty());
        }
    }

    /** A valid questionnaire with any piece removed or repeated is either read or rejected with errors. */
    @Property(tries = 500, seed = "12")
    void anyAlteredQuestionnaireIsReadOrRejected(
            @ForAll @IntRange(min = 0, max = 900) int from, @ForAll @IntRange(min = 0, max = 60) int length) {
        int start = Math.min(from, VALID.length());
        int end = Math.min(start + length, VALID.length());
        anyTextIsReadOrRejected(VALID.substring(0, start) + VALID.substring(end));
        anyTextIsReadOrRejected(VALID.substring(0, end) + VALID.substring(start));
    }

    @Test
    void diffListsChanges() throws Exception {
        Configuration before = Questionnaire.generate(VALID, 1);
        Configuration after = Questionnaire.generate(VALID.replace("10.0.0.1:8080", "10.0.0.9:8080"), 1);
        List<String> lines = ConfigurationDiff.between(before, after);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("~ service tillhand target t1:"), lines.get(0));
        assertTrue(ConfigurationDiff.between(before, before).isEmpty());
        assertTrue(ConfigurationDiff.between(null, before).contains("+ service tillhand"));
    }
}

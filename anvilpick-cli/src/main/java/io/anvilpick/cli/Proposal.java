package io.anvilpick.cli;

import io.anvilpick.config.Configuration;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.Contract;
import java.util.Optional;

/**
 * The configuration of a questionnaire and the stored configuration that it would replace.
 *
 * @param configuration the configuration of the questionnaire, with the contract epoch that it would have once accepted
 * @param stored the stored configuration, if there is one
 */
record Proposal(Configuration configuration, Optional<ConfigurationStore.Stored> stored) {
    /**
     * Reads the questionnaire {@code file}. If its operator is not the operator of the stored contract, the proposal is
     * a handover, and its contract has the next epoch.
     */
    static Proposal read(String file, Optional<ConfigurationStore.Stored> stored) throws CliException {
        Configuration configuration = InputFiles.readQuestionnaire(file, 1);
        if (stored.isEmpty()) {
            return new Proposal(configuration, stored);
        }
        Contract current = stored.get().snapshot().head().contract();
        boolean sameOperator =
                current.operator().equals(configuration.contract().operator());
        long epoch = sameOperator ? current.epoch() : current.epoch() + 1;
        return new Proposal(InputFiles.readQuestionnaire(file, epoch), stored);
    }

    long storedVersion() {
        return stored.map(each -> each.snapshot().head().version()).orElse(0L);
    }
}

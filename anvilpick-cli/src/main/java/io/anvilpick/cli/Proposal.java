package io.anvilpick.cli;

import io.anvilpick.config.Configuration;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.Contract;
import java.util.Optional;

/**
 * A questionnaire's configuration next to what is stored.
 *
 * @param wanted the configuration wanted, with the epoch that its contract would have
 * @param stored what is stored, if anything is
 */
record Proposal(Configuration wanted, Optional<ConfigurationStore.Stored> stored) {
    /** Reads {@code file}; an operator other than the one in force makes it a handover to the next epoch. */
    static Proposal read(String file, Optional<ConfigurationStore.Stored> stored) throws CliException {
        Configuration wanted = Files.readQuestionnaire(file, 1);
        if (stored.isEmpty()) {
            return new Proposal(wanted, stored);
        }
        Contract present = stored.get().snapshot().head().contract();
        boolean sameOperator = present.operator().equals(wanted.contract().operator());
        long epoch = sameOperator ? present.epoch() : present.epoch() + 1;
        return new Proposal(Files.readQuestionnaire(file, epoch), stored);
    }

    long storedVersion() {
        return stored.map(each -> each.snapshot().head().version()).orElse(0L);
    }
}

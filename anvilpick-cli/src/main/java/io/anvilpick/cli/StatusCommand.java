package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.Contract;
import io.anvilpick.config.Head;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;
import java.time.Instant;
import java.util.Optional;

/** Shows what is in force, and what to do next. */
@Command(name = "status", description = "Show what is in force, since when and by whom, and what to do next")
public final class StatusCommand implements OperatorCommand {
    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Override
    public ExitCode run(Console console) throws CliException, PlatformException, ConfigurationException {
        Optional<ConfigurationStore.Stored> stored = platform.stored(console);
        if (stored.isEmpty()) {
            console.out().println("no configuration has been accepted yet");
            console.out().println("next: anvilpick template > questionnaire.yaml, fill it in, anvilpick check");
            return ExitCode.OK;
        }
        Head head = stored.get().snapshot().head();
        Contract contract = head.contract();
        console.out().println("version:   " + head.version());
        console.out()
                .println("accepted:  " + Instant.ofEpochMilli(head.acceptedAtMillis()) + " by " + head.acceptedBy()
                        + ", change " + head.changeId());
        console.out()
                .println("contract:  " + contract.operator().name() + ", term " + contract.term() + ", epoch "
                        + contract.epoch() + ", until " + Instant.ofEpochMilli(contract.endsAtMillis()));
        console.out()
                .println("next:      "
                        + contract.next()
                                .map(next -> next.name() + " takes over")
                                .orElse("no operator is named"));
        stored.get()
                .snapshot()
                .configuration()
                .services()
                .values()
                .forEach(service -> console.out()
                        .println("service:   " + service.name() + ", "
                                + service.targets().size() + " targets, " + service.slotsPerTarget() + " slots each, "
                                + service.homes() + " homes"));
        console.out().println("to do:     " + advice(console, contract));
        return ExitCode.OK;
    }

    private static String advice(Console console, Contract contract) {
        if (!contract.hasEnded(console.time().epochMillis())) {
            return "to change anything: edit the questionnaire, then anvilpick check, diff, accept";
        }
        String next = contract.next().map(each -> each.name()).orElse("");
        return next.isEmpty()
                ? "the term has ended and no next operator is named: nobody can accept changes; calls go on"
                : "the term has ended: " + next + " accepts its own questionnaire with anvilpick accept";
    }
}

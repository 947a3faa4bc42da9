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

/** Shows the accepted configuration and what the operator can do next. */
@Command(
        name = "status",
        description = "Show the accepted configuration, who accepted it and when, and what to do next")
public final class StatusCommand implements OperatorCommand {
    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Override
    public ExitCode run(CommandContext context) throws CliException, PlatformException, ConfigurationException {
        Optional<ConfigurationStore.Stored> stored = platform.stored(context);
        if (stored.isEmpty()) {
            context.out().println("no configuration has been accepted yet");
            context.out()
                    .println("next: anvilpick template > questionnaire.yaml,"
                            + " fill it in, then anvilpick check questionnaire.yaml");
            return ExitCode.OK;
        }
        Head head = stored.get().snapshot().head();
        Contract contract = head.contract();
        context.out().println("version:   " + head.version());
        context.out()
                .println("accepted:  " + Instant.ofEpochMilli(head.acceptedAtMillis()) + " by " + head.acceptedBy()
                        + ", change " + head.changeId());
        context.out()
                .println("contract:  " + contract.operator().name() + ", term " + contract.term() + ", epoch "
                        + contract.epoch() + ", until " + Instant.ofEpochMilli(contract.endsAtMillis()));
        context.out()
                .println("next:      "
                        + contract.next()
                                .map(next -> next.name() + " takes over")
                                .orElse("no operator is named"));
        stored.get()
                .snapshot()
                .configuration()
                .services()
                .values()
                .forEach(service -> context.out()
                        .println("service:   " + service.name() + ", "
                                + service.targets().size() + " targets, " + service.slotsPerTarget() + " slots each, "
                                + service.homes() + " homes"));
        context.out().println("to do:     " + nextStep(context, contract));
        return ExitCode.OK;
    }

    private static String nextStep(CommandContext context, Contract contract) {
        if (!contract.hasEnded(context.time().epochMillis())) {
            return "to change the configuration: edit the questionnaire, then anvilpick check, diff, accept";
        }
        String next = contract.next().map(operator -> operator.name()).orElse("");
        return next.isEmpty()
                ? "the term has ended and no next operator is named: no change can be accepted;"
                        + " daemons keep serving calls"
                : "the term has ended: " + next + " can now accept its own questionnaire with anvilpick accept";
    }
}

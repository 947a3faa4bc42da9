package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.google.common.base.Splitter;
import io.anvilpick.settings.ExitCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Shows how one request was processed, from the logs of one or more daemons. For each target that the request was sent
 * to, shows the last event about the target, such as {@code target_seen}, that the same log holds before the line of
 * the request.
 */
@Command(name = "explain", description = "Show how the request REQUEST-ID ended and why, from the logs in FILE...")
public final class ExplainCommand implements OperatorCommand {
    private static final Splitter SLASHES = Splitter.on('/');

    @Arguments(
            title = {"REQUEST-ID", "FILE"},
            description = "Id that the client gave the request, and paths of daemon logs")
    private List<String> arguments = new ArrayList<>();

    /** A log line about the request and the events before it in the same log. */
    private record RequestLine(String file, LogEvent event, List<LogEvent> before) {}

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (arguments.size() < 2) {
            throw new CliException(ExitCode.USAGE, "REQUEST-ID and at least one FILE are required");
        }
        String id = arguments.getFirst();
        List<RequestLine> lines = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            lines.addAll(findInLog(id, file));
        }
        if (lines.isEmpty()) {
            context.err()
                    .println("anvilpick: no log line of request " + id + " in the given files;"
                            + " only a sample of the successful requests is logged");
            return ExitCode.DATA;
        }
        lines.sort(Comparator.comparing(line -> line.event().value("time")));
        lines.forEach(line -> show(context, line));
        return ExitCode.OK;
    }

    private static List<RequestLine> findInLog(String id, String file) throws CliException {
        List<RequestLine> lines = new ArrayList<>();
        List<LogEvent> before = new ArrayList<>();
        for (String line : InputFiles.read(file).split("\n", -1)) {
            Optional<LogEvent> event = LogEvent.parse(line);
            if (event.isPresent() && event.get().isOfRequest(id)) {
                lines.add(new RequestLine(file, event.get(), List.copyOf(before)));
            }
            event.ifPresent(before::add);
        }
        return lines;
    }

    private static void show(CommandContext context, RequestLine requestLine) {
        LogEvent event = requestLine.event();
        context.out()
                .printf(
                        "%s %s: %s %s%n",
                        event.value("time"),
                        requestLine.file(),
                        event.value("event"),
                        event.value("kind") + event.value("status"));
        context.out()
                .printf(
                        "  route %s, service %s, configuration %s, ended after %s ms; the caller waits up to %s ms%n",
                        event.value("route"),
                        event.value("service"),
                        event.value("configuration"),
                        event.value("ms"),
                        event.value("waits_ms"));
        for (String step : event.steps()) {
            context.out().println("  " + step.replaceFirst("@", " ms: "));
            showTargetRecord(context, requestLine, step);
        }
        if (!event.value("reason").isEmpty()) {
            context.out().println("  reason: " + event.value("reason"));
        }
    }

    /** Shows the last event about the target of a step that sent the request. Shows nothing for other steps. */
    private static void showTargetRecord(CommandContext context, RequestLine requestLine, String step) {
        String target =
                SLASHES.splitToList(step.substring(step.indexOf(':') + 1)).getFirst();
        LogEvent last = null;
        for (LogEvent event : requestLine.before()) {
            if (event.value("event").startsWith("target_") && event.value("id").equals(target)) {
                last = event;
            }
        }
        if (last != null && step.contains("@sent:")) {
            context.out()
                    .println("    last event of the target, at " + last.value("time") + ": " + last.value("event") + " "
                            + last.value("entry"));
        }
    }
}

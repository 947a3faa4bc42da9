package io.anvilpick.cli;

import io.anvilpick.config.Configuration;
import io.anvilpick.questionnaire.Questionnaire;
import io.anvilpick.questionnaire.QuestionnaireException;
import io.anvilpick.settings.ExitCode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.stream.Collectors;

/** Reads the files that are named on the command line. */
final class InputFiles {
    private InputFiles() {}

    static String read(String path) throws CliException {
        try {
            return java.nio.file.Files.readString(Path.of(path), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.NO_INPUT,
                    path + ": cannot read the file: " + e.getClass().getSimpleName());
        }
    }

    static Configuration readQuestionnaire(String path, long contractEpoch) throws CliException {
        try {
            return Questionnaire.generate(read(path), contractEpoch);
        } catch (QuestionnaireException e) {
            String messages =
                    e.errors().stream().map(error -> path + ": " + error).collect(Collectors.joining("\n"));
            throw new CliException(ExitCode.DATA, messages + "\n" + e.errors().size() + " errors; nothing was changed");
        }
    }
}

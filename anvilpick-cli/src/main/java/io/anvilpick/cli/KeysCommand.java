package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.anvilpick.config.Signatures;
import io.anvilpick.settings.ExitCode;
import java.io.IOException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import org.jspecify.annotations.Nullable;

/**
 * Generates the key pair of an operator. The private key signs the configurations that the operator accepts, and the
 * public key in the questionnaire identifies the operator.
 */
@Command(name = "keys", description = "Write a new private key to FILE and print the public key for the questionnaire")
public final class KeysCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "Path of the file to create for the private key; must not exist")
    private @Nullable String file;

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (file == null) {
            throw new CliException(
                    ExitCode.USAGE, "FILE: is missing; give the path of the file to create for the private key");
        }
        Signatures.Keys keys = Signatures.newKeys();
        try {
            Path path = java.nio.file.Files.createFile(
                    Path.of(file), PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            java.nio.file.Files.writeString(path, keys.privateKey() + "\n", StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.NO_INPUT,
                    file + ": cannot create the file for the private key: "
                            + e.getClass().getSimpleName());
        }
        context.out().println(keys.publicKey());
        return ExitCode.OK;
    }
}

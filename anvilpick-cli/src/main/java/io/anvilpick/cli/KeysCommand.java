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

/** Makes the pair of keys by which an operator proves who it is. */
@Command(name = "keys", description = "Write a new private key to FILE and print the public key for the questionnaire")
public final class KeysCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "Where the private key goes; must not exist yet")
    private @Nullable String file;

    @Override
    public ExitCode run(Console console) throws CliException {
        if (file == null) {
            throw new CliException(ExitCode.USAGE, "FILE: is missing");
        }
        Signatures.Keys keys = Signatures.newKeys();
        try {
            Path path = java.nio.file.Files.createFile(
                    Path.of(file), PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            java.nio.file.Files.writeString(path, keys.privateKey() + "\n", StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.NO_INPUT,
                    file + ": cannot be written: " + e.getClass().getSimpleName());
        }
        console.out().println(keys.publicKey());
        return ExitCode.OK;
    }
}

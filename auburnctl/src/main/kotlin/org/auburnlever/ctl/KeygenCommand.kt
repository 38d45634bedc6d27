package org.auburnlever.ctl

import kotlinx.cli.ArgType
import java.io.IOException
import java.nio.file.FileAlreadyExistsException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.PosixFilePermissions
import java.security.KeyPairGenerator
import java.util.HexFormat

/** Generates an operator's key pair. */
class KeygenCommand(selection: Selection) :
    Command("keygen", "Make an Ed25519 key pair: FILE (private, mode 600) and FILE.pub", selection) {
    private val file by argument(ArgType.String, "file", "Private key file to create; never overwritten")

    override fun run(console: Console): ExitCode =
        try {
            create(console)
        } catch (e: FileAlreadyExistsException) {
            console.fail(ExitCode.REFUSED, "${e.file} already exists and was not changed")
        } catch (e: IOException) {
            console.fail(ExitCode.REFUSED, "can't create the key files: ${e.javaClass.simpleName}: ${e.message}")
        }

    private fun create(console: Console): ExitCode {
        val pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
        val hex = HexFormat.of()
        val publicHex = hex.formatHex(pair.public.encoded)
        write(Path.of(file), hex.formatHex(pair.private.encoded), "rw-------")
        write(Path.of("$file.pub"), publicHex, "rw-r--r--")
        console.out.println(publicHex)
        return ExitCode.SUCCESS
    }

    private fun write(path: Path, text: String, mode: String) {
        Files.createFile(path, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(mode)))
        Files.writeString(path, text + "\n")
    }
}

package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path

/** An operator's key pair with the path of its private key. */
data class OperatorKey(val name: String, val publicKeyHex: String, val privateKeyFile: Path)

/** A bearer token and the digest by which a bundle lists it. */
data class BearerToken(val token: String, val digest: String)

/** Runs the `auburnctl` commands of an operator. */
class OperatorTools(private val programs: Programs, private val folder: Path) {
    /** Generates a key pair for the operator [name]. */
    fun generateKeyPair(name: String): OperatorKey {
        val file = folder.resolve("$name.key")
        val publicKey = programs.run("auburnctl", listOf("keygen", file.toString())).trim()
        return OperatorKey(name, publicKey, file)
    }

    /** Generates a bearer token. */
    fun generateToken(): BearerToken {
        val lines = programs.run("auburnctl", listOf("token")).lines().associate {
            it.substringBefore(": ") to it.substringAfter(": ")
        }
        return BearerToken(lines.getValue("token"), lines.getValue("digest"))
    }

    /** Writes [bundle] to a file and returns its path, for [propose] and [signOff]. */
    fun writeBundle(version: Long, bundle: String): Path =
        folder.resolve("bundle-$version.json").also { Files.writeString(it, bundle) }

    /** Proposes the bundle in [file] through the host at [address] and returns the output. */
    fun propose(address: String, operator: OperatorKey, file: Path): String =
        programs.run("auburnctl", listOf("propose") + signing(address, operator) + file.toString()).trim()

    /** Signs off the bundle in [file] through the host at [address] and returns the output. */
    fun signOff(address: String, operator: OperatorKey, file: Path): String =
        programs.run("auburnctl", listOf("sign-off") + signing(address, operator) + file.toString()).trim()

    private fun signing(address: String, operator: OperatorKey): List<String> =
        listOf("--server", address, "--operator", operator.name, "--key", operator.privateKeyFile.toString())
}

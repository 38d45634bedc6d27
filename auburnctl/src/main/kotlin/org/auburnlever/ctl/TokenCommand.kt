package org.auburnlever.ctl

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat

/** Generates a bearer token; bundles hold only its digest. */
class TokenCommand(selection: Selection) :
    Command("token", "Make a random token and print it with its digest", selection) {
    override fun run(console: Console): ExitCode {
        val token = HexFormat.of().formatHex(ByteArray(TOKEN_BYTES).also { SecureRandom().nextBytes(it) })
        val digest = MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
        console.out.println("token: $token")
        console.out.println("digest: ${HexFormat.of().formatHex(digest)}")
        return ExitCode.SUCCESS
    }

    private companion object {
        /** 256 random bits, so that the token can't be guessed from its published digest. */
        const val TOKEN_BYTES = 32
    }
}

package org.auburnlever.ctl

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat

/** Makes a bearer token; only its digest belongs into a bundle. */
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
        /** 256 bits, so that the digest can be published without a risk of guessing the token. */
        const val TOKEN_BYTES = 32
    }
}

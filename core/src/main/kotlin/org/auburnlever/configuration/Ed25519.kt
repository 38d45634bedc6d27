package org.auburnlever.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import java.security.GeneralSecurityException
import java.security.KeyFactory
import java.security.PrivateKey
import java.security.PublicKey
import java.security.Signature
import java.security.spec.PKCS8EncodedKeySpec
import java.security.spec.X509EncodedKeySpec
import java.util.HexFormat

/** Ed25519 signatures over a bundle's digest; keys and signatures are lower-case hex. */
object Ed25519 {
    /** Reads the X.509 encoding of a public key. */
    fun publicKey(hex: String): Result<PublicKey, String> =
        parseHex(hex).flatMap { encoded ->
            catchingSecurityException { keyFactory().generatePublic(X509EncodedKeySpec(encoded)) }
        }

    /** Reads the PKCS #8 encoding of a private key. */
    fun privateKey(hex: String): Result<PrivateKey, String> =
        parseHex(hex).flatMap { encoded ->
            catchingSecurityException { keyFactory().generatePrivate(PKCS8EncodedKeySpec(encoded)) }
        }

    /** Signs the UTF-8 bytes of [text] and returns the signature as hex. */
    fun sign(key: PrivateKey, text: String): Result<String, String> = catchingSecurityException {
        val signature = Signature.getInstance(ALGORITHM)
        signature.initSign(key)
        signature.update(text.encodeToByteArray())
        HexFormat.of().formatHex(signature.sign())
    }

    /** Says whether [signatureHex] is a valid signature over [text] for the key [publicKeyHex]. */
    fun verifies(publicKeyHex: String, text: String, signatureHex: String): Boolean =
        publicKey(publicKeyHex)
            .flatMap { key -> parseHex(signatureHex).flatMap { verify(key, text, it) } }
            .getOrElse { false }

    private fun verify(key: PublicKey, text: String, signatureBytes: ByteArray): Result<Boolean, String> =
        catchingSecurityException {
            val signature = Signature.getInstance(ALGORITHM)
            signature.initVerify(key)
            signature.update(text.encodeToByteArray())
            signature.verify(signatureBytes)
        }

    private fun parseHex(hex: String): Result<ByteArray, String> =
        if (hex.length % 2 == 0 && HEX.matches(hex)) Ok(HexFormat.of().parseHex(hex)) else Err("is not lower-case hex")

    private inline fun <T> catchingSecurityException(action: () -> T): Result<T, String> =
        try {
            Ok(action())
        } catch (e: GeneralSecurityException) {
            Err("is not valid for Ed25519: ${e.message}")
        }

    private fun keyFactory(): KeyFactory = KeyFactory.getInstance(ALGORITHM)

    private const val ALGORITHM = "Ed25519"
    private val HEX = Regex("[0-9a-f]+")
}

package org.auburnlever.configuration

import com.github.michaelbull.result.getOrElse
import org.auburnlever.model.OperatorName
import java.security.KeyPair
import java.security.KeyPairGenerator
import java.util.HexFormat

/** An operator with a private key, to sign bundles in tests. */
internal class SigningOperator(name: String) {
    private val keys: KeyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair()
    val operator = Operator(OperatorName(name), HexFormat.of().formatHex(keys.public.encoded))

    fun sign(text: String): String = Ed25519.sign(keys.private, text).getOrElse { error(it) }

    fun propose(bundle: Bundle) = ConfigurationCommand.Propose(bundle, operator.name, sign(bundle.digestHex()))

    fun signOff(bundle: Bundle) =
        ConfigurationCommand.SignOff(bundle.digestHex(), operator.name, sign(bundle.digestHex()))
}

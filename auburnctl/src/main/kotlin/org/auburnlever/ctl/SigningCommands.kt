package org.auburnlever.ctl

import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import com.linecorp.armeria.common.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.optional
import kotlinx.cli.required
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.Ed25519
import org.auburnlever.configuration.digestHex
import org.auburnlever.model.OperatorName
import org.auburnlever.wire.ConfigurationChangeView
import org.auburnlever.wire.Paths
import org.auburnlever.wire.ProposalBody
import org.auburnlever.wire.SignOffBody

/** A subcommand that sends a configuration change signed by an operator. */
abstract class SigningCommand(name: String, description: String, selection: Selection) :
    RemoteCommand(name, description, selection) {
    private val operatorOption by option(ArgType.String, "operator", description = "Name of the operator").required()
    private val keyFile by option(ArgType.String, "key", description = "Private key file of the operator").required()

    /** Name of the operator who signs. */
    protected val operator: OperatorName get() = OperatorName(operatorOption)

    /** Signs [digestHex] with the operator's key. */
    protected fun sign(digestHex: String): String =
        Ed25519.privateKey(readText(keyFile).trim())
            .flatMap { Ed25519.sign(it, digestHex) }
            .getOrElse { throw InputException("$keyFile: the private key $it") }

    /** Sends the change and writes its state. */
    protected fun send(console: Console, client: ServerClient, path: String, json: String): ExitCode {
        val request = ServerRequest(HttpMethod.POST, path, json.encodeToByteArray())
        return console.reportChange(client.send(request)) {
            val view = answerJson.decodeFromString(ConfigurationChangeView.serializer(), it.text)
            val missing = if (view.missingSignatures > 0) ", ${view.missingSignatures} signatures missing" else ""
            console.out.println("version ${view.version} ${view.state}$missing, digest ${view.digestHex}")
        }
    }
}

/** Proposes a bundle and signs it; this signature counts towards the threshold. */
class ProposeCommand(selection: Selection) : SigningCommand("propose", "Propose a bundle and sign it", selection) {
    private val file by argument(ArgType.String, "file", "Bundle file: JSON with comments")

    override fun run(console: Console, client: ServerClient): ExitCode {
        val bundle = readJson(file, Bundle.serializer())
        return console.reportProblems(file, bundle) ?: propose(console, client, bundle)
    }

    private fun propose(console: Console, client: ServerClient, bundle: Bundle): ExitCode {
        val body = ProposalBody(
            bundleText = readText(file),
            operator = operator,
            signatureHex = sign(bundle.digestHex()),
        )
        return send(console, client, Paths.PROPOSALS, Codec.json.encodeToString(ProposalBody.serializer(), body))
    }
}

/** Signs off a bundle that another operator proposed. */
class SignOffCommand(selection: Selection) :
    SigningCommand("sign-off", "Sign a proposed bundle, given as file or digest", selection) {
    private val digest by option(ArgType.String, "digest", description = "Digest of the bundle, instead of its file")
    private val file by argument(ArgType.String, "file", "Bundle file: JSON with comments").optional()

    override fun run(console: Console, client: ServerClient): ExitCode {
        val signed = digestToSign()
        val body = SignOffBody(signed, operator, sign(signed))
        return send(console, client, Paths.SIGN_OFFS, Codec.json.encodeToString(SignOffBody.serializer(), body))
    }

    private fun digestToSign(): String {
        val fromFile = file?.let { readJson(it, Bundle.serializer()).digestHex() }
        val given = listOfNotNull(fromFile, digest)
        return given.singleOrNull() ?: throw InputException("sign-off: give either a bundle file or --digest")
    }
}

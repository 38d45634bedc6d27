package org.auburnlever.entry

import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.HttpResponse
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ConfigurationCommand
import org.auburnlever.configuration.ConfigurationError
import org.auburnlever.configuration.Operator
import org.auburnlever.configuration.digestHex
import org.auburnlever.configuration.signatureError
import org.auburnlever.host.ConfigurationClient
import org.auburnlever.model.DomainName

/**
 * Validates configuration changes on the host that receives them and submits the valid ones.
 *
 * The signature is checked here, before the replicated log checks it again, so that unauthorized callers cannot fill
 * the log. A host that lags behind may refuse an operator who was just added; the operator then repeats the change
 * there or sends it to another host.
 */
class ConfigurationChanges(
    private val client: ConfigurationClient,
    private val genesisOperators: List<Operator>,
    private val announcedAccelerators: () -> Map<DomainName, Int>,
    private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) {
    /** Submits a proposal and returns a response with its state. */
    suspend fun propose(command: ConfigurationCommand.Propose): HttpResponse {
        val digest = command.bundle.digestHex()
        val error = signatureError(operators(), command.operator, digest, command.signatureHex)
            ?: capacityError(command.bundle)
        return if (error == null) submit(command) else refusal(error)
    }

    /** Submits a sign-off and returns a response with the state of its proposal. */
    suspend fun signOff(command: ConfigurationCommand.SignOff): HttpResponse {
        val error = signatureError(operators(), command.operator, command.digestHex, command.signatureHex)
        return if (error == null) submit(command) else refusal(error)
    }

    private fun operators(): List<Operator> = client.inForce?.operators ?: genesisOperators

    /**
     * Returns an error if the guarantees of [bundle] exceed the announced accelerators.
     *
     * The first bundle is not checked, because workers need a token from a bundle before they can announce themselves.
     * A resend or an outdated proposal is not checked either, because the log decides its permanent reply.
     */
    private fun capacityError(bundle: Bundle): ConfigurationError? {
        val inForce = client.inForce?.takeIf { bundle.version > it.version } ?: return null
        val problems = bundle.capacityProblems(inForce, announcedAccelerators())
        return problems.ifEmpty { null }?.let { ConfigurationError.InvalidBundle.of(it) }
    }

    private suspend fun submit(command: ConfigurationCommand): HttpResponse =
        client.submit(command, timeoutMillis).fold({ it.toHttpResponse() }, { it.toHttpResponse() })

    private companion object {
        /** Longer than an election (at most 2 s), so that a change succeeds despite the loss of a leader. */
        const val DEFAULT_TIMEOUT_MILLIS = 5_000L
    }
}

package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import kotlinx.cli.ArgType
import kotlinx.serialization.Serializable
import java.time.Instant

private const val EVACUATIONS_PATH = "/evacuations"

/** Shows the evacuated failure domains of a fleet; its control hosts are the servers. */
class EvacuationListCommand(selection: Selection) :
    ReadCommand("list", "Show the evacuated failure domains", selection) {
    override val path: String get() = EVACUATIONS_PATH

    override fun show(console: Console, json: String) {
        val list = answerJson.decodeFromString(EvacuationList.serializer(), json)
        tableLines(
            listOf("FAILURE DOMAIN", "SINCE"),
            list.evacuations.map { listOf(it.zone, Instant.ofEpochMilli(it.sinceMs)) },
        ).forEach { console.out.println(it) }
    }
}

/** Requests that no more tasks start in a failure domain. */
class EvacuationOrderCommand(selection: Selection) :
    EvacuationChangeCommand("order", "Start no more tasks in a failure domain", selection, HttpMethod.POST, "evacuated")

/** Withdraws the evacuation of a failure domain. */
class EvacuationEndCommand(selection: Selection) :
    EvacuationChangeCommand(
        "end",
        "Withdraw the evacuation of a failure domain",
        selection,
        HttpMethod.DELETE,
        "not evacuated",
    )

/** A subcommand that orders or ends an evacuation; a repeated one is acknowledged again. */
abstract class EvacuationChangeCommand(
    name: String,
    description: String,
    selection: Selection,
    private val method: HttpMethod,
    private val result: String,
) : RemoteCommand(name, description, selection) {
    private val failureDomain by argument(ArgType.String, "domain", "Failure domain")

    override fun run(console: Console, client: ServerClient): ExitCode {
        val answer = client.send(ServerRequest(method, "$EVACUATIONS_PATH/${pathSegment(failureDomain)}"))
        return when (answer) {
            is ServerAnswer.None -> {
                val code = if (answer.maybeSent) ExitCode.UNKNOWN else ExitCode.REFUSED
                console.fail(code, "no server answered: ${answer.message}")
            }

            is ServerAnswer.Answered -> if (answer.isSuccess) {
                console.out.println("failure domain $failureDomain: $result")
                ExitCode.SUCCESS
            } else {
                console.fail(answer.evacuationExitCode(), "${answer.server}: ${answer.status}: ${answer.text.trim()}")
            }
        }
    }

    /** Control hosts answer 503 to an order that had no effect, and 504 to one that may have had. */
    private fun ServerAnswer.Answered.evacuationExitCode(): ExitCode {
        val uncertain = status.isServerError && status != HttpStatus.SERVICE_UNAVAILABLE
        return if (uncertain || earlierAttemptLost) ExitCode.UNKNOWN else ExitCode.REFUSED
    }
}

@Serializable
private data class EvacuationList(val evacuations: List<EvacuationEntry>)

@Serializable
private data class EvacuationEntry(val zone: String, val sinceMs: Long)

package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.SerializationException

/** A subcommand that reads and prints one document. */
abstract class ReadCommand(name: String, description: String, selection: Selection) :
    RemoteCommand(name, description, selection) {
    private val output by option(
        ArgType.Choice<OutputFormat>(),
        "output",
        description = "Layout of the answer",
    ).default(OutputFormat.TEXT)

    /** URL path of the document. */
    protected abstract val path: String

    /** Writes the document [json] as text; throws `SerializationException` if it has another layout. */
    protected abstract fun show(console: Console, json: String)

    final override fun run(console: Console, client: ServerClient): ExitCode {
        val answer = client.send(ServerRequest(HttpMethod.GET, path))
        return try {
            console.reportRead(answer) { print(console, it.text) }
        } catch (e: SerializationException) {
            console.fail(ExitCode.REFUSED, "the answer can't be read: ${e.message.orEmpty().lineSequence().first()}")
        }
    }

    private fun print(console: Console, json: String) =
        if (output == OutputFormat.JSON) console.out.println(json) else show(console, json)
}

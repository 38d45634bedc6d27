package org.auburnlever.ctl

import kotlinx.cli.ArgType
import org.auburnlever.wire.ExplainView
import org.auburnlever.wire.Paths

/** Shows the recorded decisions about a job, account or worker. */
class ExplainCommand(selection: Selection) :
    ReadCommand("explain", "Show the recorded decisions about a job, account or worker", selection) {
    private val kind by argument(ArgType.Choice<ExplainKind>(), "kind", "What to explain")
    private val subject by argument(ArgType.String, "name", "Job id, account name or worker name")

    override val path: String get() = "${Paths.EXPLAIN}/${kind.name.lowercase()}/${pathSegment(subject)}"

    override fun show(console: Console, json: String) {
        val view = answerJson.decodeFromString(ExplainView.serializer(), json)
        view.failureDomains.forEach { domain ->
            console.out.println("${domain.failureDomain}: ${domain.error.orEmpty()}")
            domain.document?.let { console.out.println(indented(it)) }
        }
    }
}

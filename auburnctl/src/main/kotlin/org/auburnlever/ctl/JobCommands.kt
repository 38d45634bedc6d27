package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpMethod
import kotlinx.cli.ArgType
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Headers
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Paths

/** Submits a job. */
class JobSubmitCommand(selection: Selection) : RemoteCommand("submit", "Submit a job", selection) {
    private val file by argument(ArgType.String, "file", "Job file: JSON with comments")
    private val givenKey by option(ArgType.String, "key", description = "Key of the job, to resend it; made if absent")

    override fun run(console: Console, client: ServerClient): ExitCode {
        val spec = readJson(file, JobSpec.serializer())
        val key = givenKey ?: newIdempotencyKey(System.currentTimeMillis())
        // Printed before the request is sent, since the user needs it to resend the job after a lost answer.
        console.err.println("key: $key")
        val body = Codec.json.encodeToString(JobSpec.serializer(), spec).encodeToByteArray()
        val headers = mapOf(Headers.IDEMPOTENCY_KEY to key)
        val isNew = givenKey == null
        val request = ServerRequest(HttpMethod.POST, Paths.JOBS, body, headers = headers, keyIsNew = isNew)
        return console.reportChange(client.send(request)) { console.showJob(it.text) }
    }
}

/** Shows a job. */
class JobShowCommand(selection: Selection) : ReadCommand("show", "Show a job", selection) {
    private val job by argument(ArgType.String, "id", "Job id")

    override val path: String get() = "${Paths.JOBS}/${pathSegment(job)}"

    override fun show(console: Console, json: String) = console.showJob(json)
}

/** Cancels a job. */
class JobCancelCommand(selection: Selection) : RemoteCommand("cancel", "End a job", selection) {
    private val job by argument(ArgType.String, "id", "Job id")

    override fun run(console: Console, client: ServerClient): ExitCode {
        val request = ServerRequest(HttpMethod.DELETE, "${Paths.JOBS}/${pathSegment(job)}")
        return console.reportChange(client.send(request)) { console.showJob(it.text) }
    }
}

private fun Console.showJob(json: String) {
    val view = answerJson.decodeFromString(JobView.serializer(), json)
    out.println("job: ${view.jobId}")
    out.println("account: ${view.account}")
    out.println("failure domain: ${view.failureDomain}")
    out.println("phase: ${view.phase.name.lowercase()}, attempt ${view.attempt}")
    out.println("outcome: ${view.outcome ?: "-"}")
    out.println("reason: ${view.reason ?: "-"}")
    out.println("waited: ${view.waitedMillis} ms, ran: ${view.ranMillis} ms")
    view.results.forEachIndexed { task, result -> out.println("result of task $task: $result") }
}

package org.auburnlever.acceptance

import org.auburnlever.codec.Codec
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape
import org.auburnlever.standin.TaskEvent
import org.auburnlever.wire.Headers
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Paths
import org.auburnlever.wire.TaskStatus

/** Submits gang jobs and checks that all tasks of a gang run at the same time. */
internal class JobSteps(private val context: SessionContext) {
    private val hosts = context.deployment.plan.hosts

    /** Submits a gang through one host, resends it through another and reads the results through a third. */
    fun runGang(key: String) {
        context.startSection("gang job")
        val domain = context.deployment.plan.failureDomains.first()
        val call = AccountCall("POST", Paths.JOBS, json(gangSpec(domain)), mapOf(Headers.IDEMPOTENCY_KEY to key))
        val jobId = submit(call)
        val done = awaitDone(jobId)
        context.transcript.add("results ${done.results} after attempt ${done.attempt}")
        ensure(done.outcome == "completed") { "the job ended with outcome ${done.outcome}: ${done.reason}" }
        ensure(done.results == listOf(RESULT, RESULT)) { "unexpected results ${done.results}" }
        checkRanTogether(jobId)
    }

    /** Submits a job with a task that is larger than any worker; it must be refused at once. */
    fun submitImpossible(key: String) {
        context.startSection("job that can never run")
        val spec = gangSpec(context.deployment.plan.failureDomains.first()).copy(shape = Shape(1, LARGER_THAN_WORKER))
        val call = AccountCall("POST", Paths.JOBS, json(spec), mapOf(Headers.IDEMPOTENCY_KEY to key))
        val answer = context.call(hosts.first().name, call)
        ensure(answer.header(Headers.ERROR_CODE) == "impossible_shape") { "not refused as impossible_shape" }
        ensure(answer.header(Headers.OUTCOME) == "refused") { "the impossible job was not refused" }
    }

    private fun submit(call: AccountCall): String {
        context.transcript.add("> POST ${call.path} through ${hosts[2].name} ${call.body}")
        val first = jobView(context.tryCall(hosts[2].name, call))
        val again = jobView(context.tryCall(hosts.last().name, call))
        context.transcript.mask(first.jobId, "job")
        context.transcript.add("< job ${first.jobId} in ${first.failureDomain}")
        context.transcript.add("< resend through ${hosts.last().name}: job ${again.jobId}")
        ensure(first.jobId == again.jobId) { "the resend created a second job" }
        return first.jobId
    }

    private fun awaitDone(jobId: String): JobView {
        val call = AccountCall("GET", "${Paths.JOBS}/$jobId")
        val reader = hosts[1].name
        val done = await("job $jobId is done", JOB_LIMIT_MILLIS, { context.tryCall(reader, call)?.body.orEmpty() }) {
            jobView(context.tryCall(reader, call)).takeIf { it.phase == JobPhase.DONE }
        }
        context.transcript.add("read through $reader: ${done.phase.name.lowercase()} ${done.outcome}")
        return done
    }

    /** Checks that each task ran exactly once, none before all were reserved, and that they ran at the same time. */
    private fun checkRanTogether(jobId: String) {
        val events = context.workerControls.flatMap { it.events() }.filter { it.jobId == jobId }
        events.sortedWith(compareBy({ it.status }, { it.taskIndex })).forEach { record(it) }
        val starts = events.filter { it.status == TaskStatus.RUNNING }
        val ends = events.filter { it.status == TaskStatus.COMPLETED }
        ensure(starts.map { it.taskIndex }.sorted() == listOf(0, 1)) { "not every task started exactly once" }
        ensure(ends.map { it.taskIndex }.sorted() == listOf(0, 1)) { "not every task completed exactly once" }
        val reserved = events.filter { it.status == TaskStatus.RESERVED }.maxOf { it.atMillis }
        ensure(reserved <= starts.minOf { it.atMillis }) { "a task started before all tasks were reserved" }
        ensure(starts.maxOf { it.atMillis } < ends.minOf { it.atMillis }) { "the tasks did not run at the same time" }
    }

    private fun record(event: TaskEvent) {
        val adjacent = event.accelerators.zipWithNext().all { (a, b) -> b == a + 1 }
        val count = "${event.accelerators.size} ${if (adjacent) "adjacent" else "scattered"} accelerators"
        context.transcript.add("task ${event.taskIndex} ${event.status.name.lowercase()} on $count")
    }

    private fun gangSpec(domain: String) = JobSpec(
        service = ServiceName("simulate"),
        shape = Shape(taskCount = 2, acceleratorsPerTask = 4),
        estimatedSeconds = 2,
        payload = """{"runMillis":1500,"result":"$RESULT"}""",
        failureDomain = DomainName(domain),
    )

    private fun json(spec: JobSpec): String = Codec.json.encodeToString(JobSpec.serializer(), spec)

    private fun jobView(answer: HttpAnswer?): JobView {
        ensure(answer != null && answer.status in SUCCESS) { "no job returned: ${answer?.status} ${answer?.body}" }
        return Codec.json.decodeFromString(JobView.serializer(), answer?.body.orEmpty())
    }

    private companion object {
        const val RESULT = "mould 7"
        const val JOB_LIMIT_MILLIS = 20_000L
        const val LARGER_THAN_WORKER = 5
        val SUCCESS = 200..202
    }
}

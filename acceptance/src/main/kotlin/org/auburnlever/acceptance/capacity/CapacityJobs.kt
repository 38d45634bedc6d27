package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.AccountCall
import org.auburnlever.acceptance.SessionContext
import org.auburnlever.acceptance.StandInControl
import org.auburnlever.acceptance.awaitTrue
import org.auburnlever.acceptance.ensure
import org.auburnlever.codec.Codec
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape
import org.auburnlever.model.Spread
import org.auburnlever.wire.Headers
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Paths
import org.auburnlever.wire.TaskStatus
import java.time.Instant

/** Submits jobs whose tasks run until the measurement ends. */
internal class CapacityJobs(private val context: SessionContext) {
    private val host = context.deployment.plan.hosts.first()
    private var submitted = 0

    /** Submits gangs without accelerators until [tasks] tasks run on [workers] in [domain]. */
    fun runTasks(tasks: Int, workers: StandInControl, domain: String = host.failureDomain) {
        val running = workers.runningTasks()
        var missing = tasks - running
        while (missing > 0) {
            val size = minOf(missing, MAX_GANG_SIZE)
            submit(Shape(size, 0, spread = Spread.DOMAIN), domain)
            missing -= size
        }
        awaitTrue("$tasks tasks run", START_LIMIT_MILLIS, { "${workers.runningTasks()} run" }) {
            workers.runningTasks() >= tasks
        }
    }

    /** Submits one urgent task with one accelerator and returns the time until a worker runs it. */
    fun measureUrgentStart(workers: StandInControl): Timing {
        val before = workers.runningTasks()
        val start = System.nanoTime()
        submit(Shape(1, 1), host.failureDomain, urgent = true)
        awaitTrue("the urgent task runs", START_LIMIT_MILLIS) { workers.runningTasks() > before }
        val millis = (System.nanoTime() - start) / NANOS_PER_MILLI
        return Timing("urgent job with $before running tasks: submitted until running", millis)
    }

    private fun submit(shape: Shape, domain: String, urgent: Boolean = false) {
        submitted++
        val spec = JobSpec(
            service = ServiceName(CapacityBundles.SERVICE),
            shape = shape,
            estimatedSeconds = ESTIMATE_SECONDS,
            urgent = urgent,
            payload = """{"runMillis":$RUN_MILLIS}""",
            failureDomain = DomainName(domain),
        )
        val headers = mapOf(Headers.IDEMPOTENCY_KEY to "${Instant.now().epochSecond}-capacity-$submitted")
        val body = Codec.json.encodeToString(JobSpec.serializer(), spec)
        val answer = context.tryCall(host.name, AccountCall("POST", Paths.JOBS, body, headers))
        ensure(answer != null && answer.status in SUCCESS) { "job not accepted: ${answer?.status} ${answer?.body}" }
    }

    private fun StandInControl.runningTasks(): Int =
        workers().sumOf { worker -> worker.tasks.count { it.status == TaskStatus.RUNNING } }

    private companion object {
        const val MAX_GANG_SIZE = 64
        const val ESTIMATE_SECONDS = 600L
        const val RUN_MILLIS = 600_000
        const val START_LIMIT_MILLIS = 40_000L
        const val NANOS_PER_MILLI = 1_000_000L
        val SUCCESS = 200..202
    }
}

package org.auburnlever.ledger

import kotlinx.serialization.Serializable
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobView

/**
 * The recorded state and decisions of a job, account or worker.
 *
 * [known] is false when nothing is recorded under this name. The fields from [job] to [displacedFor] are set for jobs
 * only: [displaced] lists the jobs that were preempted for this job, [displacedFor] is the job that last preempted it.
 */
@Serializable
data class Explanation(
    val kind: String,
    val name: String,
    val known: Boolean,
    val summary: String,
    val job: JobView? = null,
    val placement: List<TaskPlacement> = emptyList(),
    val guarantee: GuaranteeId? = null,
    val displaced: List<String> = emptyList(),
    val displacedFor: String? = null,
    val decisions: List<JournalEntry> = emptyList(),
)

/** Returns what is recorded about the job, account or worker [name]; [kind] is `job`, `account` or `worker`. */
fun LedgerState.explain(kind: String, name: String): Explanation = when (kind) {
    "job" -> explainJob(name)
    "account" -> explainAccount(name)
    "worker" -> explainWorker(name)
    else -> Explanation(kind, name, known = false, summary = "kind must be job, account or worker")
}

private fun LedgerState.explainJob(jobId: String): Explanation {
    val decisions = journal.entries().filter { it.jobId == jobId || it.forJobId == jobId }
    val job = job(jobId)
    return Explanation(
        kind = "job",
        name = jobId,
        known = job != null || decisions.isNotEmpty(),
        summary = job?.let { describe(it) } ?: decisions.lastOrNull()?.reason ?: "no such job is recorded",
        job = job?.let { view(it) },
        placement = job?.tasks.orEmpty().map { it.placement },
        guarantee = job?.guarantee,
        displaced = decisions.filter { it.forJobId == jobId }.mapNotNull { it.jobId }.distinct(),
        displacedFor = decisions.lastOrNull { it.jobId == jobId && it.forJobId != null }?.forJobId,
        decisions = decisions,
    )
}

private fun describe(job: JobRecord): String = when (job.phase) {
    JobPhase.QUEUED -> "waits: ${job.reason}"
    JobPhase.RESERVING -> "its ${job.tasks.size} tasks are being reserved: ${job.reason}"
    JobPhase.STARTING -> "its ${job.tasks.size} tasks are being started"
    JobPhase.RUNNING -> "all ${job.tasks.size} tasks run on ${job.workers()}"
    JobPhase.STOPPING -> "is being stopped: ${job.stop?.reason}"
    JobPhase.DONE -> "ended as ${job.outcome?.wireName()}: ${job.reason}"
}

private fun JobRecord.workers(): String = tasks.map { it.placement.worker }.distinct().joinToString()

private fun LedgerState.explainAccount(name: String): Explanation {
    val held = accounts.entries.firstOrNull { it.key.value == name }?.value?.heldAccelerators ?: 0
    val waiting = jobs.queued.count { job(it)?.account?.value == name }
    val atRisk = guarantees.atRisk.filter { it.account.value == name }
    val risk = if (atRisk.isEmpty()) "no guarantee at risk" else "guarantees at risk: ${atRisk.map { it.index }}"
    val decisions = journal.entries().filter { it.account?.value == name }
    return Explanation(
        kind = "account",
        name = name,
        known = decisions.isNotEmpty() || held > 0 || waiting > 0,
        summary = "holds $held accelerators, $waiting jobs wait, $risk",
        decisions = decisions,
    )
}

private fun LedgerState.explainWorker(name: String): Explanation {
    val worker = workers.values.firstOrNull { it.name.value == name }
    val decisions = journal.entries().filter { it.worker?.value == name }
    return Explanation(
        kind = "worker",
        name = name,
        known = worker != null || decisions.isNotEmpty(),
        summary = worker?.let { describe(it) } ?: "no such worker is recorded",
        decisions = decisions,
    )
}

private fun LedgerState.describe(worker: WorkerRecord): String {
    val suspension = worker.suspension
    val status = when {
        worker.lost -> "is lost"
        worker.draining -> "is draining"
        suspension != null && suspension.untilMillis > timeMillis -> "is suspended: ${suspension.reason}"
        suspension != null -> "is on probation: ${suspension.reason}"
        else -> "takes tasks"
    }
    val free = java.lang.Long.bitCount(worker.freeMask)
    return "$status, holds ${worker.held.size} tasks, $free of ${worker.acceleratorCount} accelerators free"
}

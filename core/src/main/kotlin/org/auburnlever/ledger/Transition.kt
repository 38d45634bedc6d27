package org.auburnlever.ledger

import org.auburnlever.model.AccountName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.Outcome

/** The ledger's state while one command is applied, with the events so far; [index] is the command's log index. */
internal class Transition(var state: LedgerState, val index: Long) {
    val events = mutableListOf<LedgerEvent>()

    val nowMillis: Long get() = state.timeMillis

    fun job(jobId: String): JobRecord? = state.job(jobId)

    fun worker(name: WorkerName): WorkerRecord? = state.workers[name]

    fun putWorker(worker: WorkerRecord) {
        state = state.copy(workers = state.workers.put(worker.name, worker))
    }

    fun putGuarantee(id: GuaranteeId, record: GuaranteeRecord, stale: Boolean = state.guarantees.stale) {
        val plan = state.guarantees
        state = state.copy(guarantees = plan.copy(entries = plan.entries.put(id, record), stale = stale))
    }

    fun setTimer(timer: LedgerTimer, atMillis: Long) {
        state = state.copy(deadlines = state.deadlines.add(timer, atMillis))
    }

    fun recordDecision(kind: DecisionKind, reason: String, subject: DecisionSubject) {
        val entry = JournalEntry(
            atMillis = nowMillis,
            index = index,
            kind = kind,
            jobId = subject.jobId,
            account = subject.account,
            worker = subject.worker,
            forJobId = subject.forJobId,
            reason = reason,
        )
        state = state.copy(journal = state.journal.add(entry))
    }

    /** Stores [job] without a change of phase. */
    fun putJob(job: JobRecord) {
        state = state.copy(jobs = state.jobs.copy(all = state.jobs.all.put(job.jobId, job)))
    }

    /** Stores [job] in a new phase, moves it between the indexes and records why. */
    fun moveJob(job: JobRecord, to: JobPhase, kind: DecisionKind, reason: String): JobRecord {
        val moved = job.copy(phase = to, reason = reason)
        val jobs = state.jobs
        state = state.copy(
            jobs = jobs.copy(
                all = jobs.all.put(job.jobId, moved),
                queued = if (to == JobPhase.QUEUED) jobs.queued.add(job.jobId) else jobs.queued.remove(job.jobId),
                active = if (moved.isActive) jobs.active.add(job.jobId) else jobs.active.remove(job.jobId),
                done = if (to == JobPhase.DONE) jobs.done.put(job.jobId, nowMillis) else jobs.done,
            ),
        )
        recordDecision(kind, reason, DecisionSubject(job.jobId, job.account, forJobId = moved.stop?.forJobId))
        events += LedgerEvent.JobMoved(job.jobId, job.account, job.phase, to, reason)
        return moved
    }
}

/** The job, account or worker that a decision is about. */
internal data class DecisionSubject(
    val jobId: String? = null,
    val account: AccountName? = null,
    val worker: WorkerName? = null,
    val forJobId: String? = null,
)

/** Returns the reply to a command that had no effect and whose work was not run. */
internal fun refused(code: ErrorCode, message: String) = LedgerReply.Rejected(Outcome.Refused(code, message))

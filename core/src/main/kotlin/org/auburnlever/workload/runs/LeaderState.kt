package org.auburnlever.workload.runs

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentMapOf
import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.ProposalTag
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadCommand

/**
 * The volatile state of the leader of one [term], and the effects of the decision in progress.
 *
 * @property firstFence part of the fencing tokens that rises within the term, for workers whose token was not raised
 * @property proposedEnds runs whose end has been proposed and is not applied yet; they must not be adopted again
 */
internal class LeaderState(
    val term: Long,
    val electedMillis: Long,
    val limits: WorkloadLimits,
    val firstFence: Long = 0,
) {
    var workers: PersistentMap<String, WorkerView> = persistentMapOf()
        private set
    var runs: PersistentMap<TaskRun, RunView> = persistentMapOf()
        private set
    var proposedEnds: PersistentSet<TaskRun> = persistentHashSetOf()
        private set

    /** Reports that are not believed yet, by the incarnation and address that they name. */
    var unconfirmedReports: PersistentMap<WorkerRef, UnconfirmedReport> = persistentMapOf()

    /** The part of the fencing token that was raised in this term, by worker id; [firstFence] for all others. */
    var fences: PersistentMap<String, Long> = persistentMapOf()

    /** Higher than the part of any token so far. */
    val nextFence: Long get() = maxOf(firstFence, fences.values.maxOrNull() ?: 0) + 1

    /** The jobs at which the runs were last compared with the assigned ones; a tick without a change skips that. */
    var checkedJobs: PersistentMap<String, JobRecord>? = null

    /** The jobs from which runs were last adopted; null if runs have been removed or released since. */
    var adoptedFrom: PersistentMap<String, JobRecord>? = null

    // Orders of earlier leaders may stay in effect until then.
    private val electionLeaseEndMillis = electedMillis + limits.leaseSafeMillis
    private val effects = ArrayList<CoordinatorEffect>()

    /**
     * Creates the view of a worker of which only [ref] is known at [nowMillis].
     *
     * An order to an earlier incarnation that is still in flight carries a deadline of another clock, so a later one
     * may grant it the longest lease.
     */
    fun freshView(ref: WorkerRef, nowMillis: Long): WorkerView {
        val token = fencingToken(ref.id)
        val earlier = workers[ref.id]
            ?: return WorkerView(ref = ref, leaseEndMillis = electionLeaseEndMillis, firstToken = token)
        val leaseEndMillis = maxOf(electionLeaseEndMillis, nowMillis + limits.longestLeaseSafeMillis)
        val left = earlier.departed || earlier.report?.draining == true
        return WorkerView(ref = ref, leaseEndMillis = leaseEndMillis, predecessorLeft = left, firstToken = token)
    }

    fun put(view: WorkerView) {
        workers = workers.put(view.ref.id, view)
    }

    fun put(run: TaskRun, view: RunView) {
        runs = runs.put(run, view)
    }

    fun keepRuns(kept: (TaskRun) -> Boolean) {
        runs = runs.keys.filterNot(kept).fold(runs) { left, run -> left.remove(run) }
    }

    /**
     * Proposes to record [ends].
     *
     * [worker] is the one whose list reported them, with numbers above [afterEnd] up to [throughEnd]; null if none did.
     */
    fun recordEnds(ends: List<RunEnd>, worker: WorkerRef? = null, afterEnd: Long = 0, throughEnd: Long = 0) {
        val ended = ends.map { it.run }
        proposedEnds = proposedEnds.addAll(ended)
        adoptedFrom = null
        runs = ended.fold(runs) { kept, run -> kept.remove(run) }
        propose(WorkloadCommand.RecordEnds(ends), ProposalTag.Ends(worker, afterEnd, throughEnd, ended))
    }

    fun clearProposedEnds(ended: List<TaskRun>) {
        proposedEnds = proposedEnds.removeAll(ended)
        adoptedFrom = null
    }

    fun propose(command: WorkloadCommand, tag: ProposalTag) {
        effects += CoordinatorEffect.Propose(command, tag)
    }

    fun order(order: WorkerOrder) {
        effects += CoordinatorEffect.Order(order)
    }

    fun logDecision(
        event: String,
        id: String,
        vararg details: Pair<String, Any?>,
        more: Map<String, Any?> = emptyMap(),
    ) {
        effects += CoordinatorEffect.Log(DecisionLogEntry(event, id, details.toMap() + more))
    }

    /** Runs [decide] and returns the effects that it added. */
    fun collect(decide: LeaderState.() -> Unit): List<CoordinatorEffect> {
        effects.clear()
        decide()
        return effects.toList()
    }
}

/** Returns the view of the incarnation [ref], or null if another one is known. */
internal fun LeaderState.viewOf(ref: WorkerRef): WorkerView? =
    workers[ref.id]?.takeIf { it.ref.startMillis == ref.startMillis }

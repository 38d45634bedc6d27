package org.auburnlever.workload

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * What the leader of one [term] knows besides the log, and the effects that its present decision has collected.
 *
 * [proposedEnds] are runs whose end has been proposed and is not applied yet; they are not adopted again.
 */
internal class LeaderState(val term: Long, electedMillis: Long, val limits: WorkloadLimits) {
    var workers: PersistentMap<String, WorkerView> = persistentMapOf()
        private set
    var runs: PersistentMap<TaskRun, RunView> = persistentMapOf()
        private set
    var proposedEnds: PersistentSet<TaskRun> = persistentSetOf()
        private set

    // Orders of earlier leaders may be in force until then.
    private val electionLeaseEndMillis = electedMillis + limits.leaseSafeMillis
    private val effects = ArrayList<CoordinatorEffect>()

    /** A worker of which nothing is known but [ref]. */
    fun freshView(ref: WorkerRef) = WorkerView(ref = ref, leaseEndMillis = electionLeaseEndMillis)

    fun put(view: WorkerView) {
        workers = workers.put(view.ref.id, view)
    }

    fun put(run: TaskRun, view: RunView) {
        runs = runs.put(run, view)
    }

    fun keepRuns(kept: (TaskRun) -> Boolean) {
        runs = runs.keys.filterNot(kept).fold(runs) { left, run -> left.remove(run) }
    }

    /** Proposes to record [ends]; they come from the list of [workerId] up to [throughEnd], or from no list. */
    fun recordEnds(ends: List<RunEnd>, workerId: String? = null, throughEnd: Long = 0) {
        val ended = ends.map { it.run }
        proposedEnds = proposedEnds.addAll(ended)
        runs = ended.fold(runs) { kept, run -> kept.remove(run) }
        propose(WorkloadCommand.RecordEnds(ends), ProposalTag.Ends(workerId, throughEnd, ended))
    }

    fun clearProposedEnds(ended: List<TaskRun>) {
        proposedEnds = proposedEnds.removeAll(ended)
    }

    fun propose(command: WorkloadCommand, tag: ProposalTag) {
        effects += CoordinatorEffect.Propose(command, tag)
    }

    fun order(order: WorkerOrder) {
        effects += CoordinatorEffect.Order(order)
    }

    fun logDecision(event: String, id: String, vararg details: Pair<String, Any?>) {
        effects += CoordinatorEffect.Log(DecisionLogEntry(event, id, details.toMap()))
    }

    /** Runs one decision and returns its effects. */
    fun collect(decide: LeaderState.() -> Unit): List<CoordinatorEffect> {
        effects.clear()
        decide()
        return effects.toList()
    }
}

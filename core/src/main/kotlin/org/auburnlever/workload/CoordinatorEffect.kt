package org.auburnlever.workload

import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadCommand

/** An action that a [Coordinator] asks its driver to perform. */
sealed interface CoordinatorEffect {
    /** Propose [command]; the result is passed to [Coordinator.onApplied] or [Coordinator.onNotApplied]. */
    data class Propose(val command: WorkloadCommand, val tag: ProposalTag) : CoordinatorEffect

    /** Send [order]; the answer is passed to [Coordinator.onAnswer]. */
    data class Order(val order: WorkerOrder) : CoordinatorEffect

    /** Write [entry] to the decision log. */
    data class Log(val entry: DecisionLogEntry) : CoordinatorEffect
}

/** The purpose of a proposal, returned with its result. */
sealed interface ProposalTag {
    /** Assigns tasks to workers; all assignments of one plan are in one proposal. */
    data object Assign : ProposalTag

    /**
     * Records the ends of [runs].
     *
     * @property worker incarnation whose list reported the ends; null if the leader decided them
     * @property afterEnd highest end number of that worker that was recorded or proposed before; 0 without a list
     * @property throughEnd highest end number of that list; 0 without a list
     */
    data class Ends(val worker: WorkerRef?, val afterEnd: Long, val throughEnd: Long, val runs: List<TaskRun>) :
        ProposalTag

    /** Removes ended jobs after their retention. */
    data object Housekeeping : ProposalTag
}

/**
 * A line of the decision log.
 *
 * @property event name of the event
 * @property id what the decision is about, such as a run, a job or a worker
 * @property details facts behind the decision and its outcome
 */
data class DecisionLogEntry(val event: String, val id: String, val details: Map<String, Any?>)

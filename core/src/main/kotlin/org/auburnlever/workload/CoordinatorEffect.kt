package org.auburnlever.workload

/** What a [Coordinator] asks its driver to do. */
sealed interface CoordinatorEffect {
    /** Propose [command]; the result comes back with [Coordinator.onApplied] or [Coordinator.onNotApplied]. */
    data class Propose(val command: WorkloadCommand, val tag: ProposalTag) : CoordinatorEffect

    /** Send [order]; the answer comes back with [Coordinator.onAnswer]. */
    data class Order(val order: WorkerOrder) : CoordinatorEffect

    /** Tell the log what was decided and why. */
    data class Log(val entry: DecisionLogEntry) : CoordinatorEffect
}

/** What a proposal was made for. */
sealed interface ProposalTag {
    /** Starts; one plan's assignments are in one proposal. */
    data object Assign : ProposalTag

    /** Ends of a worker up to [throughEnd]; 0 when they come from no list. */
    data class Ends(val workerId: String?, val throughEnd: Long, val runs: List<TaskRun>) : ProposalTag

    /** Removal of old jobs. */
    data object Housekeeping : ProposalTag
}

/** One decision for the log: what it concerns, what it was based on, and the outcome. */
data class DecisionLogEntry(val event: String, val id: String, val details: Map<String, Any?>)

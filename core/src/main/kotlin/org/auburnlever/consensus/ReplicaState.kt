package org.auburnlever.consensus

/**
 * Immutable state of one Raft replica.
 *
 * [startReplica] creates it, and [step] and [stepAll] map it and inputs to the next state and effects, without any I/O
 * of their own. The driver keeps the newest state and carries out the effects; see [ReplicaEffect] for their order.
 *
 * @property term newest term the replica knows
 * @property commitIndex last entry known to be stored by a majority; [ReplicaEffect.Apply] was emitted up to here
 */
@ConsistentCopyVisibility
data class ReplicaState internal constructor(
    val id: ReplicaId,
    val settings: ReplicaSettings,
    val term: Long,
    val commitIndex: Long,
    internal val votedFor: ReplicaId?,
    internal val log: ReplicaLog,
    internal val snapshot: Snapshot?,
    internal val roleState: RaftRoleState,
    internal val timer: ElectionTimer,
    internal val incoming: IncomingSnapshot?,
    internal val bytesSinceSnapshot: Long,
)

/** When a replica starts the next election, and when it last received a message from a leader. */
internal data class ElectionTimer(
    val randomState: Long,
    val deadlineMillis: Long,
    val leaderHeardMillis: Long?,
)

/** State of a replica after a step, and the effects that the driver must carry out. */
data class ReplicaStep(val state: ReplicaState, val effects: List<ReplicaEffect>)

/**
 * Starts the replica [id] from the state recovered from its disk.
 *
 * [initial] is the membership of a new group; it is used only if [recovered] has no snapshot. It must name the
 * incarnations that were formatted: a replica with a newer incarnation is then not a member, and does not vote until
 * [MembershipChange.AddLearner] admits it.
 * The step restores the recovered snapshot; entries after it are applied once a leader confirms them.
 */
fun startReplica(
    id: ReplicaId,
    recovered: RecoveredLog,
    initial: Membership,
    settings: ReplicaSettings,
    nowMillis: Long,
): ReplicaStep {
    val state = ReplicaState(
        id = id,
        settings = settings,
        term = recovered.term,
        commitIndex = recovered.snapshot?.lastIndex ?: 0,
        votedFor = recovered.votedFor,
        log = ReplicaLog.after(recovered.snapshot, initial).append(recovered.entries),
        snapshot = recovered.snapshot,
        roleState = RaftRoleState.Follower(leader = null),
        timer = ElectionTimer(settings.seed, nowMillis, leaderHeardMillis = null),
        incoming = null,
        bytesSinceSnapshot = 0,
    )
    val scope = StepScope(state, nowMillis)
    scope.restartElectionTimer()
    recovered.snapshot?.let { scope.emit(ReplicaEffect.Restore(it)) }
    return scope.finish(state)
}

package org.auburnlever.consensus

/** Accumulates the next state, the durable writes and the effects while a replica handles a batch of inputs. */
internal class StepScope(var state: ReplicaState, val nowMillis: Long) {
    private val writes = mutableListOf<DurableWrite>()
    private val effects = mutableListOf<ReplicaEffect>()

    val leaderState: RaftRoleState.Leader? get() = state.roleState as? RaftRoleState.Leader

    fun emit(effect: ReplicaEffect) {
        effects += effect
    }

    fun persist(write: DurableWrite) {
        writes += write
    }

    fun send(to: ReplicaId, message: ReplicaMessage) = emit(ReplicaEffect.Send(to, message))

    fun reject(proposalId: Long, reason: RejectionReason) =
        emit(ReplicaEffect.Rejected(proposalId, reason, state.leader))

    fun updateLeaderState(change: (RaftRoleState.Leader) -> RaftRoleState.Leader) {
        leaderState?.let { state = state.copy(roleState = change(it)) }
    }

    fun updatePeer(peer: ReplicaId, change: (PeerProgress) -> PeerProgress) = updateLeaderState { leader ->
        leader.peers[peer]?.let { leader.copy(peers = leader.peers.put(peer, change(it))) } ?: leader
    }

    /** Ends the batch that began in state [before]: persists come first, then all other effects in emitted order. */
    fun finish(before: ReplicaState): ReplicaStep {
        val newLeader = state.leader
        if (newLeader != before.leader || newLeader != null && state.term != before.term) {
            emit(ReplicaEffect.LeaderChanged(newLeader, state.term))
        }
        return ReplicaStep(state, mergedWrites().map { ReplicaEffect.Persist(it) } + effects)
    }

    // Joins consecutive appends into one record and keeps only the last vote. Order matters only among appends and
    // snapshots.
    private fun mergedWrites(): List<DurableWrite> {
        val merged = mutableListOf<DurableWrite>()
        val run = mutableListOf<LogEntry>()
        for (write in writes.filter { it !is DurableWrite.Vote }) {
            if (write !is DurableWrite.Append || run.lastOrNull()?.index != write.entries.first().index - 1) {
                merged.addRun(run)
            }
            if (write is DurableWrite.Append) run += write.entries else merged += write
        }
        merged.addRun(run)
        return listOfNotNull(writes.lastOrNull { it is DurableWrite.Vote }) + merged
    }

    private fun MutableList<DurableWrite>.addRun(run: MutableList<LogEntry>) {
        if (run.isNotEmpty()) add(DurableWrite.Append(run.toList()))
        run.clear()
    }
}

package org.auburnlever.consensus

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap

/** Becomes leader of the current term and appends an empty entry, since only entries of its term can be committed. */
internal fun StepScope.becomeLeader() {
    val next = state.lastIndex + 1
    val others = state.membership.roles.keys - state.id
    state = state.copy(
        roleState = RaftRoleState.Leader(
            electedMillis = nowMillis,
            firstIndex = next,
            peers = others.associateWith { PeerProgress.startingAt(next, ReplicationMode.REPLICATE) }.toPersistentMap(),
            reads = persistentListOf(),
            roundSent = 0,
            roundConfirmed = 0,
            heartbeatDueMillis = nowMillis,
            transfer = null,
            nextWitnessTransferMillis = nowMillis,
        ),
        incoming = null,
    )
    appendAsLeader(EntryPayload.Empty)
}

internal fun StepScope.appendAsLeader(payload: EntryPayload): LogEntry {
    val entry = LogEntry(state.lastIndex + 1, state.term, payload)
    state = state.copy(log = state.log.append(listOf(entry)))
    persist(DurableWrite.Append(listOf(entry)))
    return entry
}

internal fun StepScope.onLeaderTick() {
    if (!state.membership.isQuorum(reachable())) {
        becomeFollower(state.term, leader = null)
        return
    }
    abortOverdueTransfer()
    transferFromWitness()
    promoteReplacement()
}

/** This replica and the peers that answered within the longest election timeout; the election counts as an answer. */
internal fun StepScope.reachable(): Set<ReplicaId> {
    val leader = leaderState ?: return emptySet()
    val since = nowMillis - state.settings.electionTimeoutMaxMillis
    return leader.peers.filterValues { (it.lastAnswerMillis ?: leader.electedMillis) > since }.keys + state.id
}

/** Ends a leader's batch: advances the commit index, confirms reads and sends entries and heartbeats that are due. */
internal fun StepScope.flushLeader() {
    advanceCommit()
    val leader = leaderState ?: return
    val heartbeatDue = nowMillis >= leader.heartbeatDueMillis
    if (heartbeatDue) startHeartbeat()
    confirmReads()
    val roundStarted = startReadRound(heartbeatDue)
    confirmReads()
    val sent = leader.peers.keys.filter { replicate(it) }.toSet()
    val readRoundVoters = if (roundStarted) state.membership.voters - state.id else emptySet()
    val rest = if (heartbeatDue) leader.peers.keys else readRoundVoters
    (rest - sent).forEach { sendEmpty(it) }
    completeTransfer(heartbeatDue)
}

private fun StepScope.startHeartbeat() = updateLeaderState { leader ->
    leader.copy(
        heartbeatDueMillis = nowMillis + state.settings.heartbeatMillis,
        peers = leader.peers.mapValues { (_, peer) -> peer.copy(awaitingAnswer = false) }.toPersistentMap(),
    )
}

private fun StepScope.advanceCommit() {
    val leader = leaderState ?: return
    val index = state.membership.reachedByQuorum { if (it == state.id) state.lastIndex else leader.matchOf(it) }
    // Entries of earlier terms are committed only together with one of this term (Raft, section 5.4.2).
    if (index == null || index < leader.firstIndex) return
    commitTo(index)
    if (state.id !in state.committedMembership.voters) stepDownAfterRemoval()
}

private fun RaftRoleState.Leader.matchOf(peer: ReplicaId): Long = peers[peer]?.matchIndex ?: 0

private fun StepScope.stepDownAfterRemoval() {
    val successor = state.membership.voters.maxByOrNull { state.peers[it]?.matchIndex ?: 0 }
    state.peers.keys.forEach { sendEmpty(it) }
    successor?.let { send(it, ReplicaMessage.TimeoutNow(state.term)) }
    becomeFollower(state.term, leader = null)
}

package org.auburnlever.consensus

import kotlinx.collections.immutable.toPersistentMap

internal fun StepScope.onChangeMembership(input: ReplicaInput.ChangeMembership) {
    val next = state.membership.after(input.change)
    val rejectionReason = rejectionReasonOf(input.change, next)
    if (rejectionReason != null || next == null) {
        reject(input.proposalId, rejectionReason ?: RejectionReason.UNKNOWN_REPLICA)
    } else {
        accept(input.proposalId, EntryPayload.Members(next))
        trackPeersOf(next)
    }
}

private fun StepScope.rejectionReasonOf(change: MembershipChange, next: Membership?): RejectionReason? {
    val leader = leaderState
    return when {
        leader == null -> RejectionReason.NOT_LEADER
        leader.transfer != null -> RejectionReason.LEADERSHIP_LOST
        changePending(leader) -> RejectionReason.CHANGE_PENDING
        next == null -> RejectionReason.UNKNOWN_REPLICA
        replacesActive(change) -> RejectionReason.OLD_INCARNATION_ACTIVE
        givesVoteTooEarly(change) -> RejectionReason.NOT_CAUGHT_UP
        !next.isQuorum(reachable()) -> RejectionReason.WOULD_LOSE_QUORUM
        else -> null
    }
}

// Whether a change must wait: for the previous one, or for an entry of the leader's term, to be committed. Two leaders
// could otherwise make different changes whose majorities don't overlap.
private fun StepScope.changePending(leader: RaftRoleState.Leader): Boolean =
    state.log.newestMembership.index > state.commitIndex || leader.firstIndex > state.commitIndex

// A second process under the same host name, started with an empty data folder, must not replace a working replica.
private fun StepScope.replacesActive(change: MembershipChange): Boolean =
    change is MembershipChange.AddLearner && state.membership.roles.keys.any {
        it.host == change.replica.host && it != change.replica && (it == state.id || answers(it))
    }

private fun StepScope.answers(peer: ReplicaId): Boolean =
    peer in reachable() && state.peers[peer]?.lastAnswerMillis != null

private fun StepScope.givesVoteTooEarly(change: MembershipChange): Boolean =
    change is MembershipChange.Promote && change.replica != state.id && !hasCaughtUp(change.replica)

/** Whether [peer] answers, has the newest membership entry and lacks at most `catchUpEntries` entries. */
internal fun StepScope.hasCaughtUp(peer: ReplicaId): Boolean {
    val progress = state.peers[peer] ?: return false
    return answers(peer) &&
        progress.matchIndex >= state.log.newestMembership.index &&
        progress.matchIndex >= state.lastIndex - state.settings.catchUpEntries
}

/** Promotes a caught-up learner to the role of the replica that it replaced, if no other change is pending. */
internal fun StepScope.promoteReplacement() {
    val leader = leaderState ?: return
    if (leader.transfer != null || changePending(leader)) return
    val ready = state.membership.promotions.entries.firstOrNull { hasCaughtUp(it.key) }
    val next = ready?.let { (replica, role) -> state.membership.after(MembershipChange.Promote(replica, role)) }
    if (next != null && next.isQuorum(reachable())) {
        appendAsLeader(EntryPayload.Members(next))
        trackPeersOf(next)
    }
}

private fun StepScope.trackPeersOf(membership: Membership) = updateLeaderState { leader ->
    val others = membership.roles.keys - state.id
    leader.copy(
        peers = others.associateWith { peer ->
            leader.peers[peer] ?: PeerProgress.startingAt(state.lastIndex, ReplicationMode.PROBE)
        }.toPersistentMap(),
    )
}

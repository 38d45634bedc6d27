package org.auburnlever.consensus

import kotlinx.collections.immutable.persistentSetOf

/** Starts a pre-vote; a replica without a vote only becomes a follower without a leader. */
internal fun StepScope.onElectionTimeout() {
    restartElectionTimer()
    if (!state.mayCampaign) {
        state = state.copy(roleState = RaftRoleState.Follower(leader = null))
        return
    }
    state = state.copy(roleState = RaftRoleState.PreCandidate(persistentSetOf(state.id)))
    if (state.membership.isQuorum(setOf(state.id))) {
        startElection(transfer = false)
    } else {
        askVoters(ReplicaMessage.PreVoteRequest(state.term, state.lastIndex, state.log.lastTerm))
    }
}

internal fun StepScope.onPreVoteRequest(from: ReplicaId, request: ReplicaMessage.PreVoteRequest) {
    if (state.role == null || hearsLeader()) return
    val granted = request.term >= state.term && state.isUpToDate(request.lastTerm, request.lastIndex)
    send(from, ReplicaMessage.PreVoteAnswer(state.term, granted))
}

internal fun StepScope.onPreVoteAnswer(from: ReplicaId, answer: ReplicaMessage.PreVoteAnswer) {
    if (!answer.granted) observeTerm(answer.term)
    val roleState = state.roleState
    if (!answer.granted || roleState !is RaftRoleState.PreCandidate) return
    val granted = roleState.granted.add(from)
    state = state.copy(roleState = RaftRoleState.PreCandidate(granted))
    if (state.membership.isQuorum(granted)) startElection(transfer = false)
}

/** Starts an election in the next term; [transfer] lets voters grant a vote although they hear from a leader. */
internal fun StepScope.startElection(transfer: Boolean) {
    restartElectionTimer()
    state = state.copy(
        term = state.term + 1,
        votedFor = state.id,
        roleState = RaftRoleState.Candidate(persistentSetOf(state.id)),
    )
    persist(DurableWrite.Vote(state.term, state.id))
    if (state.membership.isQuorum(setOf(state.id))) {
        becomeLeader()
    } else {
        askVoters(ReplicaMessage.VoteRequest(state.term, state.lastIndex, state.log.lastTerm, transfer))
    }
}

// A learner grants votes, too: it may have been promoted by an entry that it has not received yet, and a candidate that
// has the entry may need the vote. A candidate without the entry does not count it.
internal fun StepScope.onVoteRequest(from: ReplicaId, request: ReplicaMessage.VoteRequest) {
    if (state.role == null || hearsLeader() && !request.transfer) return
    observeTerm(request.term)
    val voteAvailable = state.votedFor == null || state.votedFor == from
    val granted = request.term == state.term && voteAvailable && state.isUpToDate(request.lastTerm, request.lastIndex)
    if (granted) grantVote(from)
    send(from, ReplicaMessage.VoteAnswer(state.term, granted))
}

private fun StepScope.grantVote(candidate: ReplicaId) {
    restartElectionTimer()
    if (state.votedFor == null) persist(DurableWrite.Vote(state.term, candidate))
    state = state.copy(votedFor = candidate)
}

internal fun StepScope.onVoteAnswer(from: ReplicaId, answer: ReplicaMessage.VoteAnswer) {
    observeTerm(answer.term)
    val roleState = state.roleState
    if (!answer.granted || answer.term != state.term || roleState !is RaftRoleState.Candidate) return
    val granted = roleState.granted.add(from)
    state = state.copy(roleState = RaftRoleState.Candidate(granted))
    if (state.membership.isQuorum(granted)) becomeLeader()
}

private fun StepScope.askVoters(request: ReplicaMessage) =
    (state.membership.voters - state.id).forEach { send(it, request) }

private fun StepScope.hearsLeader(): Boolean = leaderState != null ||
    state.timer.leaderHeardMillis.let { it != null && nowMillis - it < state.settings.electionTimeoutMinMillis }

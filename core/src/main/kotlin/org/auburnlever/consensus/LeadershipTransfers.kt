package org.auburnlever.consensus

// A target that can't win must not keep a witness from taking proposals.
private const val WITNESS_TRANSFER_INTERVAL_TIMEOUTS = 5

/** Stops taking proposals until [to] has the whole log and is told to campaign, or the time for it is over. */
internal fun StepScope.startTransfer(to: ReplicaId) {
    val leader = leaderState
    val eligible = state.membership.voters - state.id
    if (leader == null || leader.transfer != null || to !in eligible) return
    val timeout = state.settings.electionTimeoutMaxMillis
    updateLeaderState {
        it.copy(
            transfer = LeadershipTransfer(to, nowMillis + timeout, timeoutNowSent = false),
            nextWitnessTransferMillis = nowMillis + timeout * WITNESS_TRANSFER_INTERVAL_TIMEOUTS,
        )
    }
}

internal fun StepScope.abortOverdueTransfer() = updateLeaderState { leader ->
    if (leader.transfer != null && nowMillis >= leader.transfer.deadlineMillis) leader.copy(transfer = null) else leader
}

/** Tells the transfer's target to campaign once it has the whole log, and again with each heartbeat. */
internal fun StepScope.completeTransfer(heartbeatDue: Boolean) {
    val transfer = leaderState?.transfer ?: return
    val complete = state.peers[transfer.to]?.matchIndex == state.lastIndex
    if (!complete || transfer.timeoutNowSent && !heartbeatDue) return
    send(transfer.to, ReplicaMessage.TimeoutNow(state.term))
    updateLeaderState { it.copy(transfer = transfer.copy(timeoutNowSent = true)) }
}

internal fun StepScope.onTimeoutNow(message: ReplicaMessage.TimeoutNow) {
    observeTerm(message.term)
    if (message.term == state.term && state.roleState is RaftRoleState.Follower && state.mayCampaign) {
        startElection(transfer = true)
    }
}

/** Lets a witness hand leadership to the voter that has most of the log. */
internal fun StepScope.transferFromWitness() {
    val leader = leaderState ?: return
    val due = nowMillis >= leader.nextWitnessTransferMillis && state.commitIndex >= leader.firstIndex
    if (state.role != ReplicaRole.WITNESS || !due) return
    state.membership.roles
        .filter { (peer, role) -> role == ReplicaRole.VOTER && hasCaughtUp(peer) }
        .keys.maxByOrNull { state.peers.getValue(it).matchIndex }
        ?.let { startTransfer(it) }
}

package org.auburnlever.consensus

// Minimum time between transfers that a witness starts, in election timeouts. Proposals are rejected during a transfer,
// so retrying at once with a target that can't win the election would keep the group from accepting any.
private const val WITNESS_TRANSFER_INTERVAL_TIMEOUTS = 5

/** Starts a leadership transfer to [to]; proposals are rejected until it is elected or the transfer times out. */
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

/** Asks the transfer's target to start an election once it has the whole log, and again with each heartbeat. */
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

/** Transfers leadership from a witness to the caught-up voter whose log is the longest. */
internal fun StepScope.transferFromWitness() {
    val leader = leaderState ?: return
    val due = nowMillis >= leader.nextWitnessTransferMillis && state.commitIndex >= leader.firstIndex
    if (state.role != ReplicaRole.WITNESS || !due) return
    state.membership.roles
        .filter { (peer, role) -> role == ReplicaRole.VOTER && hasCaughtUp(peer) }
        .keys.maxByOrNull { state.peers.getValue(it).matchIndex }
        ?.let { startTransfer(it) }
}

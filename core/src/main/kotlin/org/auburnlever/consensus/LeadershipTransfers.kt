package org.auburnlever.consensus

// A target that can't win must not keep a witness from taking proposals.
private const val HAND_OVER_PAUSE_TIMEOUTS = 5

/** Stops taking proposals until [to] has the whole log and is told to campaign, or the time for it is over. */
internal fun StepScope.startTransfer(to: ReplicaId) {
    val leader = leading
    val eligible = state.membership.voters - state.id
    if (leader == null || leader.transfer != null || to !in eligible) return
    val timeout = state.settings.electionTimeoutMaxMillis
    updateLeading {
        it.copy(
            transfer = Transfer(to, nowMillis + timeout, told = false),
            nextHandOverMillis = nowMillis + timeout * HAND_OVER_PAUSE_TIMEOUTS,
        )
    }
}

internal fun StepScope.endOverdueTransfer() = updateLeading { leader ->
    if (leader.transfer != null && nowMillis >= leader.transfer.deadlineMillis) leader.copy(transfer = null) else leader
}

/** Tells the transfer's target to campaign once it has the whole log, and again with each heartbeat. */
internal fun StepScope.completeTransfer(heartbeatDue: Boolean) {
    val transfer = leading?.transfer ?: return
    val complete = state.peers[transfer.to]?.matchIndex == state.lastIndex
    if (!complete || transfer.told && !heartbeatDue) return
    send(transfer.to, ReplicaMessage.TimeoutNow(state.term))
    updateLeading { it.copy(transfer = transfer.copy(told = true)) }
}

internal fun StepScope.onTimeoutNow(message: ReplicaMessage.TimeoutNow) {
    observeTerm(message.term)
    if (message.term == state.term && state.stance is Stance.Follower && state.mayCampaign) {
        startElection(transfer = true)
    }
}

/** Lets a witness hand leadership to the voter that has most of the log. */
internal fun StepScope.handOverFromWitness() {
    val leader = leading ?: return
    val due = nowMillis >= leader.nextHandOverMillis && state.commitIndex >= leader.firstIndex
    if (state.role != ReplicaRole.WITNESS || !due) return
    state.membership.roles
        .filter { (peer, role) -> role == ReplicaRole.VOTER && hasCaughtUp(peer) }
        .keys.maxByOrNull { state.peers.getValue(it).matchIndex }
        ?.let { startTransfer(it) }
}

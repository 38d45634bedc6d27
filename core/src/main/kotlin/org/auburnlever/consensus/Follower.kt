package org.auburnlever.consensus

import kotlin.random.Random

/** Whether the replica may start an election, which only a replica with a vote may. */
internal val ReplicaState.mayCampaign: Boolean get() = id in membership.voters

/**
 * Whether a log that ends with an entry of [otherTerm] at [otherIndex] is at least as up to date as this one, and so
 * holds all entries that this one may have committed.
 */
internal fun ReplicaState.isUpToDate(otherTerm: Long, otherIndex: Long): Boolean =
    otherTerm > log.lastTerm || otherTerm == log.lastTerm && otherIndex >= lastIndex

internal fun StepScope.restartElectionTimer() {
    val random = Random(state.timer.randomState)
    val settings = state.settings
    val timeout = random.nextLong(settings.electionTimeoutMinMillis, settings.electionTimeoutMaxMillis)
    val factor = if (state.role == ReplicaRole.WITNESS) settings.witnessTimeoutFactor else 1
    state = state.copy(
        timer = state.timer.copy(
            randomState = random.nextLong(),
            deadlineMillis = nowMillis + timeout * factor,
        ),
    )
}

/** Enters [term] as a follower if it is newer than the known one. */
internal fun StepScope.observeTerm(term: Long) {
    if (term > state.term) becomeFollower(term, leader = null)
}

/** Becomes a follower of [leader] in [term]; if the replica was leader, rejects the reads not yet confirmed. */
internal fun StepScope.becomeFollower(term: Long, leader: ReplicaId?) {
    val former = leaderState
    state = state.copy(roleState = RaftRoleState.Follower(leader))
    if (former != null) {
        restartElectionTimer()
        former.reads.forEach { reject(it.readId, RejectionReason.LEADERSHIP_LOST) }
    }
    if (term > state.term) {
        state = state.copy(term = term, votedFor = null)
        persist(DurableWrite.Vote(term, votedFor = null))
    }
}

/** Becomes a follower of [leader] and returns true, or returns false after reporting that its [term] is outdated. */
internal fun StepScope.acceptLeader(leader: ReplicaId, term: Long): Boolean {
    if (term < state.term) {
        send(leader, ReplicaMessage.TermOutdated(state.term))
        return false
    }
    check(term > state.term || leaderState == null) { "$leader and ${state.id} both lead term $term" }
    becomeFollower(term, leader)
    restartElectionTimer()
    state = state.copy(timer = state.timer.copy(leaderHeardMillis = nowMillis))
    return true
}

internal fun StepScope.onAppend(from: ReplicaId, message: ReplicaMessage.Append) {
    if (!acceptLeader(from, message.term)) return
    if (state.hasPreviousEntry(message)) {
        store(message.entries)
        // Committed entries are in every later leader's log, so the match includes them in any case.
        val match = maxOf(message.previousIndex + message.entries.size, state.commitIndex)
        commitTo(minOf(message.commitIndex, match))
        send(from, ReplicaMessage.AppendAccepted(state.term, match, message.round))
    } else {
        send(from, state.rejection(message))
    }
}

private fun ReplicaState.hasPreviousEntry(message: ReplicaMessage.Append): Boolean =
    message.previousIndex <= commitIndex || log.termAt(message.previousIndex) == message.previousTerm

// Writes only entries that are new or differ: a delayed message must not truncate entries that a later one appended.
private fun StepScope.store(entries: List<LogEntry>) {
    val log = state.log
    val fresh = entries.dropWhile { it.index <= state.commitIndex || log.termAt(it.index) == it.term }
    if (fresh.isEmpty()) return
    state = state.copy(log = log.truncateFrom(fresh.first().index).append(fresh))
    persist(DurableWrite.Append(fresh))
}

private fun ReplicaState.rejection(message: ReplicaMessage.Append): ReplicaMessage.AppendRejected {
    val conflictTerm = log.termAt(message.previousIndex)
    val conflictIndex = if (conflictTerm == null) lastIndex + 1 else log.firstOfTermAt(message.previousIndex)
    return ReplicaMessage.AppendRejected(
        term = term,
        previousIndex = message.previousIndex,
        conflictIndex = maxOf(conflictIndex, commitIndex + 1),
        conflictTerm = conflictTerm,
        round = message.round,
    )
}

/** Commits the entries up to [index] and emits them to be applied. */
internal fun StepScope.commitTo(index: Long) {
    if (index <= state.commitIndex) return
    val entries = state.log.range(state.commitIndex + 1, index)
    emit(ReplicaEffect.Apply(entries))
    state = state.copy(
        commitIndex = index,
        bytesSinceSnapshot = state.bytesSinceSnapshot + entries.sumOf { it.sizeBytes },
    )
}

package org.auburnlever.consensus

import kotlinx.collections.immutable.persistentListOf
import org.auburnlever.codec.Bytes

/** Stores the snapshot that the driver has taken, and compacts the log up to it, except for the retained entries. */
internal fun StepScope.onSnapshotTaken(input: ReplicaInput.SnapshotTaken) {
    if (input.lastIndex <= state.snapshotIndex || input.lastIndex > state.commitIndex) return
    val log = state.log
    val snapshot = Snapshot(
        lastIndex = input.lastIndex,
        lastTerm = checkNotNull(log.termAt(input.lastIndex)) { "log has no entry at index ${input.lastIndex}" },
        membership = log.membershipAt(input.lastIndex).membership,
        state = input.state,
    )
    persist(DurableWrite.Install(snapshot))
    state = state.copy(
        snapshot = snapshot,
        log = log.dropThrough(input.lastIndex - state.retainedBefore(input.lastIndex)),
        bytesSinceSnapshot = log.range(input.lastIndex + 1, state.commitIndex).sumOf { it.sizeBytes.toLong() },
    )
}

private fun ReplicaState.retainedBefore(index: Long): Int =
    log.range(log.baseIndex + 1, index).asReversed().asSequence()
        .countWithin(settings.retainedEntries, settings.retainedBytes)

internal fun StepScope.startSnapshot(peer: ReplicaId): Boolean {
    val snapshot = checkNotNull(state.snapshot) { "log was compacted without a snapshot" }
    updatePeer(peer) { it.receiving(snapshot) }
    return sendChunk(peer)
}

internal fun StepScope.sendChunk(peer: ReplicaId): Boolean {
    val progress = state.peers.getValue(peer)
    val transfer = progress.transfer
    if (transfer == null || progress.awaitingAnswer) return false
    updatePeer(peer) { it.copy(awaitingAnswer = true) }
    send(peer, transfer.nextChunk(state, roundSent()))
    return true
}

private fun SnapshotTransfer.nextChunk(state: ReplicaState, round: Long): ReplicaMessage.SnapshotChunk {
    val total = snapshot.state.size
    return ReplicaMessage.SnapshotChunk(
        term = state.term,
        lastIndex = snapshot.lastIndex,
        lastTerm = snapshot.lastTerm,
        membership = snapshot.membership,
        offsetBytes = offsetBytes,
        totalBytes = total,
        data = snapshot.state.slice(offsetBytes, minOf(total, offsetBytes + state.settings.snapshotChunkBytes)),
        round = round,
    )
}

internal fun StepScope.onSnapshotProgress(from: ReplicaId, answer: ReplicaMessage.SnapshotProgress) {
    if (!recordAnswer(from, answer.term, answer.round)) return
    val transfer = state.peers.getValue(from).transfer
    if (transfer?.snapshot?.lastIndex != answer.lastIndex || transfer.offsetBytes == answer.receivedBytes) return
    val moved = transfer.copy(offsetBytes = answer.receivedBytes.coerceIn(0, transfer.snapshot.state.size))
    updatePeer(from) { it.copy(transfer = moved, awaitingAnswer = false) }
}

internal fun StepScope.onSnapshotChunk(from: ReplicaId, chunk: ReplicaMessage.SnapshotChunk) {
    if (!acceptLeader(from, chunk.term)) return
    if (chunk.lastIndex <= state.commitIndex) {
        state = state.copy(incoming = null)
        send(from, ReplicaMessage.AppendAccepted(state.term, state.commitIndex, chunk.round))
    } else {
        receive(from, chunk)
    }
}

private fun StepScope.receive(from: ReplicaId, chunk: ReplicaMessage.SnapshotChunk) {
    val known = state.incoming?.takeIf { it.term == chunk.term && it.lastIndex == chunk.lastIndex }
        ?: IncomingSnapshot(chunk.term, chunk.lastIndex, persistentListOf(), receivedBytes = 0)
    val incoming = if (chunk.offsetBytes == known.receivedBytes) known.plus(chunk.data) else known
    if (incoming.receivedBytes >= chunk.totalBytes) {
        install(Snapshot(chunk.lastIndex, chunk.lastTerm, chunk.membership, Bytes.concat(incoming.chunks)))
        send(from, ReplicaMessage.AppendAccepted(state.term, state.commitIndex, chunk.round))
    } else {
        state = state.copy(incoming = incoming)
        val answer = ReplicaMessage.SnapshotProgress(state.term, chunk.lastIndex, incoming.receivedBytes, chunk.round)
        send(from, answer)
    }
}

private fun StepScope.install(snapshot: Snapshot) {
    val log = state.log
    val matches = log.termAt(snapshot.lastIndex) == snapshot.lastTerm
    persist(DurableWrite.Install(snapshot))
    emit(ReplicaEffect.Restore(snapshot))
    state = state.copy(
        snapshot = snapshot,
        commitIndex = snapshot.lastIndex,
        log = if (matches) log.dropThrough(snapshot.lastIndex) else ReplicaLog.after(snapshot, snapshot.membership),
        incoming = null,
        bytesSinceSnapshot = 0,
    )
}

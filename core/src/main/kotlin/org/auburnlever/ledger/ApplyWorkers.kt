package org.auburnlever.ledger

import org.auburnlever.model.DomainName
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.WorkerHeartbeat

/** Records of lost workers stay this long: they usually return, and jobs that fit only them are not refused. */
private const val LOST_WORKER_RETENTION_MILLIS = 24 * 3_600_000L
private const val MAX_WORKERS = 2_000

internal fun Transition.workerSeen(heartbeat: WorkerHeartbeat): LedgerReply {
    val known = worker(heartbeat.worker)
    return when {
        !heartbeat.isValidIn(state.domain) ->
            refused(ErrorCode.BAD_REQUEST, "worker ${heartbeat.worker} announced invalid sizes or another domain")
        known == null && !freeWorkerSlot() ->
            refused(ErrorCode.OVERLOADED, "the ledger is limited to $MAX_WORKERS workers")
        known == null -> workerJoined(heartbeat, null)
        known.lost -> workerJoined(heartbeat, known)
        heartbeat.epochMillis < known.epochMillis -> refused(ErrorCode.BAD_REQUEST, "worker epoch is outdated")
        heartbeat.epochMillis > known.epochMillis || heartbeat.shrinks(known) -> workerRestarted(heartbeat, known)
        else -> workerChanged(heartbeat, known)
    }
}

/** True when the ledger of [domain] accepts the announced sizes and failure domain. */
internal fun WorkerHeartbeat.isValidIn(domain: DomainName): Boolean =
    failureDomain == domain && acceleratorCount in 0..Long.SIZE_BITS && cores >= 0 && memoryMiB >= 0

/** True when the worker announces fewer accelerators than before; it can no longer hold its tasks then. */
private fun WorkerHeartbeat.shrinks(known: WorkerRecord): Boolean = acceleratorCount < known.acceleratorCount

/** Removes workers that have been lost for a day; returns true if another worker can then be added. */
private fun Transition.freeWorkerSlot(): Boolean {
    val expired = state.workers.values.filter { it.isRetentionExpired(nowMillis) }
    expired.forEach { state = state.copy(workers = state.workers.remove(it.name)) }
    return state.workers.size < MAX_WORKERS
}

internal fun WorkerRecord.isRetentionExpired(nowMillis: Long): Boolean =
    lost && held.isEmpty() && lostMillis + LOST_WORKER_RETENTION_MILLIS <= nowMillis

private fun Transition.workerJoined(heartbeat: WorkerHeartbeat, known: WorkerRecord?): LedgerReply {
    val record = WorkerRecord(
        name = heartbeat.worker,
        rack = heartbeat.rack,
        positionInRack = heartbeat.positionInRack,
        epochMillis = heartbeat.epochMillis,
        acceleratorCount = heartbeat.acceleratorCount,
        cores = heartbeat.cores,
        memoryMiB = heartbeat.memoryMiB,
        draining = heartbeat.draining,
        suspension = known?.suspension,
    )
    putWorker(record)
    recordWorkerChange(record.name, DecisionKind.WORKER_JOINED, "joined with ${record.acceleratorCount} accelerators")
    if (record.isUsable(nowMillis)) requestReplanIfUnplaced()
    return LedgerReply.Done
}

private fun Transition.workerRestarted(heartbeat: WorkerHeartbeat, known: WorkerRecord): LedgerReply {
    markWorkerLost(known, "restarted with a new epoch")
    return workerJoined(heartbeat, known)
}

private fun Transition.workerChanged(heartbeat: WorkerHeartbeat, known: WorkerRecord): LedgerReply {
    val changed = known.copy(
        rack = heartbeat.rack,
        positionInRack = heartbeat.positionInRack,
        acceleratorCount = heartbeat.acceleratorCount,
        cores = heartbeat.cores,
        memoryMiB = heartbeat.memoryMiB,
        draining = heartbeat.draining,
    )
    if (changed != known) {
        putWorker(changed)
        recordWorkerChange(
            known.name,
            DecisionKind.WORKER_CHANGED,
            if (changed.draining) "is draining" else "announced new sizes",
        )
        dropPlannedPlacements(known.name)
        requestReplanIfUnplaced()
    }
    return LedgerReply.Done
}

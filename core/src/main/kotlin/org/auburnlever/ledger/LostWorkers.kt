package org.auburnlever.ledger

import org.auburnlever.model.WorkerName

internal fun Transition.workerLost(command: LedgerCommand.WorkerLost): LedgerReply {
    val known = worker(command.worker)
    if (known != null && !known.lost && known.epochMillis == command.epochMillis) {
        markWorkerLost(known, "no heartbeat for 12 s")
    }
    return LedgerReply.Done
}

/** Marks [known] as lost, releases all that it holds and stops the gangs that had a task on it. */
internal fun Transition.markWorkerLost(known: WorkerRecord, reason: String) {
    putWorker(known.copy(lost = true, lostMillis = nowMillis))
    recordWorkerChange(known.name, DecisionKind.WORKER_LOST, reason)
    known.held.forEach { ref ->
        val task = checkNotNull(job(ref.jobId)).tasks[ref.taskIndex]
        setTask(ref.jobId, ref.taskIndex, task.copy(state = TaskState.LOST))
    }
    dropPlannedPlacements(known.name)
    known.held.map { it.jobId }.distinct().forEach { advanceGang(it) }
}

internal fun Transition.recordWorkerChange(worker: WorkerName, kind: DecisionKind, reason: String) {
    recordDecision(kind, reason, DecisionSubject(worker = worker))
    events += LedgerEvent.WorkerChanged(worker, kind, reason)
}

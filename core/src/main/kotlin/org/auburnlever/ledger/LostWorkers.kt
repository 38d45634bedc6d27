package org.auburnlever.ledger

import org.auburnlever.world.WorkerName

internal fun Transition.workerLost(command: LedgerCommand.WorkerLost): LedgerReply {
    val known = worker(command.worker)
    if (known != null && !known.lost && known.epochMillis == command.epochMillis) {
        loseWorker(known, "no heartbeat for 12 s")
    }
    return LedgerReply.Done
}

/** Frees everything on [known] and stops the gangs that had a member there. */
internal fun Transition.loseWorker(known: WorkerRecord, reason: String) {
    putWorker(known.copy(lost = true, lostMillis = nowMillis))
    report(known.name, DecisionKind.WORKER_LOST, reason)
    known.held.forEach { ref ->
        val task = checkNotNull(job(ref.jobId)).tasks[ref.taskIndex]
        setTask(ref.jobId, ref.taskIndex, task.copy(state = TaskState.LOST))
    }
    unplan(known.name)
    known.held.map { it.jobId }.distinct().forEach { advanceGang(it) }
}

internal fun Transition.report(worker: WorkerName, kind: DecisionKind, reason: String) {
    note(kind, reason, Subject(worker = worker))
    events += LedgerEvent.WorkerChanged(worker, kind, reason)
}

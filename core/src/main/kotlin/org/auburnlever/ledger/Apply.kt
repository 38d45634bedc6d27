package org.auburnlever.ledger

/**
 * Applies [command], which has position [index] in the log and was stamped with [nowMillis] by the leader.
 *
 * Deterministic: equal states and arguments give equal results on every replica. Due deadlines are processed first.
 */
fun LedgerState.apply(command: LedgerCommand, index: Long, nowMillis: Long): ApplyResult {
    val transition = Transition(copy(timeMillis = maxOf(timeMillis, nowMillis), lastIndex = index), index)
    transition.processDeadlines()
    val reply = transition.execute(command)
    return ApplyResult(transition.state, reply, transition.events)
}

private fun Transition.execute(command: LedgerCommand): LedgerReply = when (command) {
    is LedgerCommand.Claim -> claim(command)
    is LedgerCommand.RecordOutcome -> recordOutcome(command)
    is LedgerCommand.SubmitJob -> submitJob(command)
    is LedgerCommand.CancelJob -> cancelJob(command)
    is LedgerCommand.WorkerSeen -> workerSeen(command.heartbeat)
    is LedgerCommand.WorkerLost -> workerLost(command)
    is LedgerCommand.TasksReported -> tasksReported(command)
    is LedgerCommand.Schedule -> applySchedule(command.actions)
    LedgerCommand.TimePassed -> LedgerReply.Done
}

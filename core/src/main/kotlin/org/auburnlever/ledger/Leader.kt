package org.auburnlever.ledger

import org.auburnlever.configuration.Bundle
import org.auburnlever.model.DomainName
import org.auburnlever.placement.Scheduler
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat

/** A worker stops its tasks 10 s after its last answered heartbeat; 2 s cover differing clock rates and the stop. */
private const val WORKER_LOST_MILLIS = 12_000L

/** A task that is missing from its worker's heartbeats for this long counts as stopped. */
private const val TASK_MISSING_MILLIS = 3_000L

/** The scheduler runs again after this time even if the ledger did not change, since estimates and ages change. */
private const val REPLAN_MILLIS = 1_000L

/**
 * Processes a worker's heartbeat on the leader.
 *
 * Proposes [LedgerCommand.WorkerSeen] when the announcement differs from the ledger and [LedgerCommand.TasksReported]
 * for task states that the ledger does not have yet. A heartbeat that is older than one already processed, or that the
 * ledger would refuse, has no effect.
 */
fun handleHeartbeat(ledger: LedgerState, leader: LeaderState, heartbeat: WorkerHeartbeat, nowMillis: Long): LeaderStep {
    val known = ledger.workers[heartbeat.worker]
    val last = leader.workers[heartbeat.worker]
    return if (!heartbeat.isValidIn(ledger.domain) || isStale(heartbeat, known, last)) {
        LeaderStep(leader, emptyList())
    } else {
        val missing = missingTasks(ledger, known, heartbeat, last, nowMillis)
        val newest = LastHeartbeat(nowMillis, heartbeat.epochMillis, heartbeat.sequence, heartbeat.tasks, missing)
        val reports = changedReports(ledger, heartbeat) + missingTaskReports(missing, nowMillis)
        val commands = listOfNotNull(
            LedgerCommand.WorkerSeen(heartbeat.copy(tasks = emptyList())).takeIf { differs(heartbeat, known) },
            LedgerCommand.TasksReported(heartbeat.worker, heartbeat.epochMillis, reports)
                .takeIf { reports.isNotEmpty() },
        )
        LeaderStep(leader.copy(workers = leader.workers.put(heartbeat.worker, newest)), commands)
    }
}

private fun isStale(heartbeat: WorkerHeartbeat, known: WorkerRecord?, last: LastHeartbeat?): Boolean {
    val oldEpoch = known != null && !known.lost && heartbeat.epochMillis < known.epochMillis
    val oldSequence = last != null && heartbeat.epochMillis == last.epochMillis && heartbeat.sequence <= last.sequence
    return oldEpoch || oldSequence
}

private fun differs(heartbeat: WorkerHeartbeat, known: WorkerRecord?): Boolean {
    val announced = known?.copy(
        lost = false,
        epochMillis = heartbeat.epochMillis,
        rack = heartbeat.rack,
        positionInRack = heartbeat.positionInRack,
        acceleratorCount = heartbeat.acceleratorCount,
        cores = heartbeat.cores,
        memoryMiB = heartbeat.memoryMiB,
        draining = heartbeat.draining,
    )
    return known == null || announced != known
}

private fun changedReports(ledger: LedgerState, heartbeat: WorkerHeartbeat): List<TaskReport> =
    heartbeat.tasks.filter { report ->
        val task = ledger.currentTask(heartbeat.worker, report)
        task != null && !task.state.isFinal && report.status.toTaskState() > task.state
    }

/** Returns the tasks that the worker holds but does not report, except those that still wait for a reserve order. */
private fun missingTasks(
    ledger: LedgerState,
    known: WorkerRecord?,
    heartbeat: WorkerHeartbeat,
    last: LastHeartbeat?,
    nowMillis: Long,
): Map<TaskRef, MissingTask> {
    val reported = heartbeat.tasks.mapTo(HashSet()) { TaskRef(it.jobId, it.taskIndex) to it.token }
    val held = known?.takeIf { !it.lost && it.epochMillis == heartbeat.epochMillis }?.held.orEmpty()
    return held.filter { ref ->
        val job = checkNotNull(ledger.job(ref.jobId))
        val expected = job.phase == JobPhase.STOPPING || job.tasks[ref.taskIndex].state != TaskState.PENDING
        expected && ref to job.token !in reported
    }.associateWith { ref ->
        val token = checkNotNull(ledger.job(ref.jobId)).token
        last?.missing?.get(ref)?.takeIf { it.token == token } ?: MissingTask(token, nowMillis)
    }
}

private fun missingTaskReports(missing: Map<TaskRef, MissingTask>, nowMillis: Long): List<TaskReport> =
    missing.filterValues { nowMillis - it.sinceMillis >= TASK_MISSING_MILLIS }.map { (ref, task) ->
        val error = "the worker does not report the task any more"
        TaskReport(ref.jobId, ref.taskIndex, task.token, TaskStatus.STOPPED, error = error)
    }

/**
 * Runs the leader's periodic work: proposes commands for lost workers, due deadlines and the scheduler's decisions.
 *
 * Without a [bundle] nothing is scheduled. Call it about every 100 ms and after each applied command that frees
 * capacity; it returns at once when nothing changed.
 */
fun tick(
    ledger: LedgerState,
    leader: LeaderState,
    bundle: Bundle?,
    domain: DomainName,
    nowMillis: Long,
): LeaderStep {
    val lost = ledger.workers.values
        .filter { !it.lost && nowMillis - leader.lastSeenMillis(it.name) >= WORKER_LOST_MILLIS }
        .map { LedgerCommand.WorkerLost(it.name, it.epochMillis) }
    val due = listOfNotNull(LedgerCommand.TimePassed.takeIf { ledger.nextDeadlineMillis() <= nowMillis })
    val urgent = lost + due
    val unchanged = leader.plannedIndex == ledger.lastIndex && nowMillis - leader.plannedMillis < REPLAN_MILLIS
    return if (bundle == null || unchanged || urgent.isNotEmpty()) {
        LeaderStep(leader, urgent)
    } else {
        val actions = Scheduler.plan(ledger, bundle, domain, leader, nowMillis)
        val schedule = listOfNotNull(LedgerCommand.Schedule(actions).takeIf { actions.isNotEmpty() })
        LeaderStep(leader.copy(plannedIndex = ledger.lastIndex, plannedMillis = nowMillis), schedule)
    }
}

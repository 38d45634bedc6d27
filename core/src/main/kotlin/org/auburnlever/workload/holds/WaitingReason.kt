package org.auburnlever.workload.holds

import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.TaskRun

/** Kinds of reasons for which steps wait, in the order in which summaries list them. */
enum class WaitingKind {
    /** There would be room, but rules keep it. */
    ROOM_KEPT,

    /** Everything that could run the step is in use. */
    NO_ROOM,

    /** There is room on several racks, and the step waits for room on one. */
    RACK,

    /** There is room on workers on which nothing can start at present. */
    WORKERS_ABSENT,

    /** The workers could not hold the step even if nothing else ran there. */
    NO_SUITABLE_WORKER,

    /** A suspected task waits for a worker without other jobs. */
    IDLE_WORKER,

    /** A gang can't start before the rest of its earlier run has ended. */
    GANG_ENDING,

    /** Tasks are assigned to workers that do not answer. */
    WORKER_SILENT,

    /** The leader has not made a plan lately. */
    NOT_PLANNED,

    /** The newest plan places the step, or the next one can. */
    STARTING,

    /** Earlier steps are not done. */
    EARLIER_STEPS,

    /** The occurrence is not due yet. */
    NOT_DUE,
}

/** Why nothing can start on a worker although the leader knows it. */
enum class Absence { NOT_REPORTED, DEPARTED, DRAINING, EVACUATED, UNREACHABLE }

/** A [run] on [worker], where it may be active until [leaseEndMillis], unless it ends or is stopped before. */
data class LeasedRun(val run: TaskRun, val worker: String, val leaseEndMillis: Long) {
    override fun toString(): String = "$run on $worker until $leaseEndMillis"
}

/** Why a step waits. */
sealed interface WaitingReason {
    /** Rules keep room: [holds], in which a task of the step would fit. */
    data class RoomKept(val holds: List<RoomHold>) : WaitingReason

    /**
     * Too little is free.
     *
     * @property needed number of tasks that have to start together
     * @property fitting number of tasks that would fit, with what is kept for the step itself
     * @property holds room that is kept from the step, although it would not be enough
     */
    data class NoRoom(val needed: Int, val fitting: Int, val holds: List<RoomHold>) : WaitingReason

    /** No rack has room for the step; [dataRack] is the only one that counts, or null if each does. */
    data class Rack(val dataRack: String?) : WaitingReason

    /** There would be room on workers that are absent; [counts] holds their number by cause. */
    data class WorkersAbsent(val counts: Map<Absence, Int>, val holds: List<RoomHold>) : WaitingReason

    /** No workers of [service] with the label [constraint] could hold the step. */
    data class NoSuitableWorker(val service: String, val constraint: String?) : WaitingReason

    /** No worker is idle; the step waits for one until [endMillis], and is placed like others then. */
    data class IdleWorker(val endMillis: Long?) : WaitingReason

    /** The [runs] of the gang have not ended. */
    data class GangEnding(val runs: List<LeasedRun>) : WaitingReason

    /** The [runs] are assigned to workers that do not answer. */
    data class WorkerSilent(val runs: List<LeasedRun>) : WaitingReason

    /** The leader has made no plan since [lastPlanMillis], or none at all if that is null. */
    data class NotPlanned(val lastPlanMillis: Long?) : WaitingReason

    /** The step is about to start after [earlierRuns] runs; many of them mean that its starts are refused or lost. */
    data class Starting(val earlierRuns: Int) : WaitingReason

    /** The [steps] before it are not done. */
    data class EarlierSteps(val steps: List<Int>) : WaitingReason

    /** The occurrence is due at [dueMillis]. */
    data class NotDue(val dueMillis: Long) : WaitingReason
}

/**
 * Why a step of an active job has tasks that wait.
 *
 * @property tasks number of these tasks
 * @property sinceMillis Unix time since which they could have started, had there been room
 */
data class WaitingExplanation(val step: StepId, val tasks: Int, val sinceMillis: Long, val reason: WaitingReason)

/** The kind of the reason. */
val WaitingReason.kind: WaitingKind
    get() = when (this) {
        is WaitingReason.RoomKept -> WaitingKind.ROOM_KEPT
        is WaitingReason.NoRoom -> WaitingKind.NO_ROOM
        is WaitingReason.Rack -> WaitingKind.RACK
        is WaitingReason.WorkersAbsent -> WaitingKind.WORKERS_ABSENT
        is WaitingReason.NoSuitableWorker -> WaitingKind.NO_SUITABLE_WORKER
        is WaitingReason.IdleWorker -> WaitingKind.IDLE_WORKER
        is WaitingReason.GangEnding -> WaitingKind.GANG_ENDING
        is WaitingReason.WorkerSilent -> WaitingKind.WORKER_SILENT
        is WaitingReason.NotPlanned -> WaitingKind.NOT_PLANNED
        is WaitingReason.Starting -> WaitingKind.STARTING
        is WaitingReason.EarlierSteps -> WaitingKind.EARLIER_STEPS
        is WaitingReason.NotDue -> WaitingKind.NOT_DUE
    }

/** The room that rules keep from the step, whether or not it would be enough. */
internal val WaitingReason.holds: List<RoomHold>
    get() = when (this) {
        is WaitingReason.RoomKept -> holds
        is WaitingReason.NoRoom -> holds
        is WaitingReason.WorkersAbsent -> holds
        else -> emptyList()
    }

/** Unix time at which the first cause of the wait ends at the latest; null if none has such a time. */
internal val WaitingReason.untilMillis: Long?
    get() = when (this) {
        is WaitingReason.IdleWorker -> endMillis
        is WaitingReason.GangEnding -> runs.maxOfOrNull { it.leaseEndMillis }
        is WaitingReason.WorkerSilent -> runs.maxOfOrNull { it.leaseEndMillis }
        is WaitingReason.NotDue -> dueMillis
        else -> holds.mapNotNull { it.untilMillis }.minOrNull()
    }

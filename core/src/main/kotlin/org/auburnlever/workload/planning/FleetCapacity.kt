package org.auburnlever.workload.planning

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.holds.RoomHold
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRecord
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.record
import org.auburnlever.workload.state.runsAlone

/**
 * The free resources of a worker that may get new work.
 *
 * Each change is recorded in the undo log that all workers of a [FleetCapacity] share.
 */
internal class WorkerCapacity(val view: WorkerView, val report: WorkerReport, private val undoLog: CapacityUndoLog) {
    val ref: WorkerRef get() = view.ref

    /** Resources that no task has allocated; negative while preempted work has not stopped yet. */
    var free: Resources = report.capacity
        private set

    /** Whether no task has allocated anything. */
    val idle: Boolean get() = free == report.capacity

    /** Whether a task runs here that does not end by itself. */
    var hasLongRunningTask = false

    fun allocate(amount: Resources) = setFree(free - amount)

    /** Returns what is free as a hold. */
    fun hold(rule: HoldRule, owner: String, untilMillis: Long?) =
        RoomHold(ref.id, rule, owner, free.atLeastNone(), untilMillis)

    /** Allocates all that is free, so that no other task is placed here. */
    fun allocateRest() = setFree(free.atMostNone())

    fun release(amount: Resources) = setFree(free + amount)

    /** Sets [free] without recording the change. */
    fun restore(amount: Resources) {
        free = amount
    }

    // Resources that are still in use by preempted work stay negative.
    private fun Resources.atMostNone() =
        Resources(minOf(milliCores, 0), minOf(memoryMiB, 0), minOf(accelerators, 0))

    private fun Resources.atLeastNone() = this - atMostNone()

    private fun setFree(amount: Resources) {
        undoLog.record(this, free)
        free = amount
    }
}

/** Records what was free before each change of a trial, so that a rollback restores the changed workers only. */
internal class CapacityUndoLog {
    private val before = ArrayList<Pair<WorkerCapacity, Resources>>()
    private var openTrials = 0

    fun record(worker: WorkerCapacity, free: Resources) {
        if (openTrials > 0) before += worker to free
    }

    /** Runs [block] and rolls back all changes that it made. */
    inline fun <T> rollBackAfter(block: () -> T): T {
        val start = before.size
        openTrials++
        try {
            return block()
        } finally {
            openTrials--
            while (before.size > start) {
                val (worker, free) = before.removeLast()
                worker.restore(free)
            }
        }
    }
}

/** Workers that may run a step, in a fixed order. */
internal class WorkerPool(val workers: List<WorkerCapacity>) {
    private val mostFree by lazy(LazyThreadSafetyMode.NONE) { workers.maxOfOrNull { it.free.accelerators } ?: 0 }

    /**
     * Returns whether no worker has [need] free, judged by the free accelerators at the first call.
     *
     * A plan only allocates resources, so a positive answer stays correct.
     */
    fun isFullFor(need: Resources): Boolean = need.accelerators > mostFree

    val racks: Map<String, List<WorkerCapacity>> by lazy(LazyThreadSafetyMode.NONE) {
        workers.groupBy { it.report.rack }.toSortedMap()
    }
}

/** The free resources of the usable workers while a plan is made; placing a task allocates from them. */
internal class FleetCapacity private constructor(views: Collection<WorkerView>) {
    private val undoLog = CapacityUndoLog()
    private val pools = HashMap<Triple<ServiceName, String?, Set<String>>, WorkerPool>()

    val workers: List<WorkerCapacity> = views.sortedBy { it.ref.id }.mapNotNull { view ->
        view.report?.let { WorkerCapacity(view, it, undoLog) }
    }
    private val byId = workers.associateBy { it.ref.id }

    /** Room that running tasks keep from other jobs. */
    val holds = ArrayList<RoomHold>()

    fun worker(id: String): WorkerCapacity? = byId[id]

    /** Returns the workers of [service] with the label [constraint], without those whose ids are in [except]. */
    fun pool(service: ServiceName, constraint: String?, except: Set<String>): WorkerPool =
        pools.getOrPut(Triple(service, constraint, except)) {
            WorkerPool(
                workers.filter {
                    it.report.service == service && it.ref.id !in except &&
                        (constraint == null || constraint in it.report.labels)
                },
            )
        }

    /** Runs [block] and rolls back all that it allocated and released. */
    inline fun <T> trial(block: () -> T): T = undoLog.rollBackAfter(block)

    companion object {
        /**
         * Computes the resources of [views] that the assigned tasks of [jobs] leave free at [nowMillis].
         *
         * With [keepsForSuspected], what is free beside a task that runs alone is kept for it.
         */
        fun of(
            views: Collection<WorkerView>,
            jobs: Collection<JobRecord>,
            nowMillis: Long,
            keepsForSuspected: Boolean = true,
        ): FleetCapacity {
            val fleet = FleetCapacity(views)
            val withTaskAlone = LinkedHashMap<WorkerCapacity, Pair<TaskId, TaskRecord>>()
            for (job in jobs) {
                for ((id, task) in job.assigned()) {
                    val worker = task.worker?.let { fleet.worker(it.id) } ?: continue
                    worker.allocate(job.needOf(id))
                    if (job.spec.steps[id.step].longRunning) worker.hasLongRunningTask = true
                    if (keepsForSuspected && task.keepsWorker(nowMillis)) withTaskAlone[worker] = id to task
                }
            }
            withTaskAlone.forEach { (worker, idAndTask) ->
                val (id, task) = idAndTask
                val untilMillis = task.assignedMillis + HoldRule.SUSPECTED_RUN.limitMillis
                fleet.holds += worker.hold(HoldRule.SUSPECTED_RUN, "${TaskRun(id, task.run)}", untilMillis)
                worker.allocateRest()
            }
            return fleet
        }
    }
}

/** Returns whether the assigned task keeps its worker for its job. */
private fun TaskRecord.keepsWorker(nowMillis: Long): Boolean =
    runsAlone && nowMillis - assignedMillis < HoldRule.SUSPECTED_RUN.limitMillis

/** Returns what the task [id] allocates on its worker. */
internal fun JobRecord.needOf(id: TaskId): Resources = spec.steps[id.step].reserved

package org.auburnlever.workload

import org.auburnlever.world.ServiceName

/** A worker that may get new work, and what is free on it; changes go through its [FleetCapacity]. */
internal class WorkerCapacity(val view: WorkerView, val report: WorkerReport, private val undoLog: CapacityUndoLog) {
    val ref: WorkerRef get() = view.ref

    /** What no task has taken; below zero while preempted work has not stopped yet. */
    var free: Resources = report.capacity
        private set

    fun allocate(amount: Resources) = setFree(free - amount)

    fun release(amount: Resources) = setFree(free + amount)

    /** Sets [free] without a record of it. */
    fun restore(amount: Resources) {
        free = amount
    }

    private fun setFree(amount: Resources) {
        undoLog.record(this, free)
        free = amount
    }
}

/** What was free before each change of a trial, so that only what was touched has to be restored. */
internal class CapacityUndoLog {
    private val before = ArrayList<Pair<WorkerCapacity, Resources>>()
    private var openTrials = 0

    fun record(worker: WorkerCapacity, free: Resources) {
        if (openTrials > 0) before += worker to free
    }

    /** Runs [block] and takes back all changes that it made. */
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

/** Workers that may run a step, in a fixed order, and the same by rack. */
internal class WorkerPool(val workers: List<WorkerCapacity>) {
    private val mostFree by lazy(LazyThreadSafetyMode.NONE) { workers.maxOfOrNull { it.free.accelerators } ?: 0 }

    /** Whether no worker has room for [need]; a plan only takes room, so an early answer stays right. */
    fun isFullFor(need: Resources): Boolean = need.accelerators > mostFree

    val racks: Map<String, List<WorkerCapacity>> by lazy(LazyThreadSafetyMode.NONE) {
        workers.groupBy { it.report.rack }.toSortedMap()
    }
}

/** Free room of the usable workers while one plan is made; the plan takes room as it places tasks. */
internal class FleetCapacity private constructor(views: Collection<WorkerView>) {
    private val undoLog = CapacityUndoLog()
    private val pools = HashMap<Triple<ServiceName, String?, Set<String>>, WorkerPool>()

    val workers: List<WorkerCapacity> = views.sortedBy { it.ref.id }.mapNotNull { view ->
        view.report?.let { WorkerCapacity(view, it, undoLog) }
    }
    private val byId = workers.associateBy { it.ref.id }

    fun worker(id: String): WorkerCapacity? = byId[id]

    /** Workers of [service] with the label [constraint], apart from those named in [except]. */
    fun pool(service: ServiceName, constraint: String?, except: Set<String>): WorkerPool =
        pools.getOrPut(Triple(service, constraint, except)) {
            WorkerPool(
                workers.filter {
                    it.report.service == service && it.ref.id !in except &&
                        (constraint == null || constraint in it.report.labels)
                },
            )
        }

    /** Runs [block] and takes back all room that it took or gave. */
    inline fun <T> trial(block: () -> T): T = undoLog.rollBackAfter(block)

    companion object {
        /** The room that the assigned tasks of [jobs] leave on [views]. */
        fun of(views: Collection<WorkerView>, jobs: Collection<JobRecord>): FleetCapacity {
            val fleet = FleetCapacity(views)
            jobs.forEach { job ->
                job.assigned()
                    .forEach { (id, task) -> task.worker?.let { fleet.worker(it.id) }?.allocate(job.needOf(id)) }
            }
            return fleet
        }
    }
}

/** What the task [id] takes from its worker's capacity. */
internal fun JobRecord.needOf(id: TaskId): Resources = spec.steps[id.step].reserved

package org.auburnlever.workload

/** A worker that may get new work, and what is free on it. */
internal class RoomOnWorker(val view: WorkerView, val report: WorkerReport, var free: Resources) {
    val ref: WorkerRef get() = view.ref
}

/** Free room of a service's usable workers while one plan is made; the plan takes room as it places tasks. */
internal class FleetRoom(val workers: List<RoomOnWorker>) {
    private val byId = workers.associateBy { it.ref.id }

    /** Racks in a fixed order, each with its workers. */
    val racks: Map<String, List<RoomOnWorker>> = workers.groupBy { it.report.rack }.toSortedMap()

    fun worker(id: String): RoomOnWorker? = byId[id]

    /** Runs [block] and takes back all room that it took or gave. */
    inline fun <T> trial(block: () -> T): T {
        val before = workers.map { it.free }
        try {
            return block()
        } finally {
            workers.forEachIndexed { index, worker -> worker.free = before[index] }
        }
    }

    companion object {
        /** The room that the assigned tasks of [jobs] leave on [views]. */
        fun of(views: Collection<WorkerView>, jobs: Collection<JobRecord>): FleetRoom {
            val room = FleetRoom(
                views.sortedBy { it.ref.id }.mapNotNull { view ->
                    view.report?.let { RoomOnWorker(view, it, it.capacity) }
                },
            )
            jobs.forEach { job -> job.assigned().forEach { (id, task) -> room.take(task.worker, job.needOf(id)) } }
            return room
        }

        private fun FleetRoom.take(ref: WorkerRef?, need: Resources) {
            ref?.let { worker(it.id) }?.let { it.free -= need }
        }
    }
}

/** What the task [id] takes from its worker's capacity. */
internal fun JobRecord.needOf(id: TaskId): Resources = spec.steps[id.step].reserved

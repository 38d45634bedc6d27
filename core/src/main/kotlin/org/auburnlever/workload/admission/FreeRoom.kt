package org.auburnlever.workload.admission

import org.auburnlever.workload.planning.URGENT
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.state.Resources
import java.util.PriorityQueue

/** A task's [amount] that becomes free on the worker at index [worker] at [atMillis]. */
internal class Release(val atMillis: Long, val worker: Int, val amount: Resources)

/**
 * The free resources of each worker while a forecast advances in time.
 *
 * @property reserved workers that only urgent steps may use
 */
internal class FreeRoom(
    private val reports: List<WorkerReport>,
    initiallyFree: List<Resources>,
    releases: List<Release>,
    private val reserved: Set<String>,
) {
    private val free = initiallyFree.toTypedArray()
    private val pending = PriorityQueue<Release>(compareBy { it.atMillis }).apply { addAll(releases) }

    /** Frees what has ended by [nowMillis]. */
    fun advance(nowMillis: Long) {
        while (pending.isNotEmpty() && pending.peek().atMillis <= nowMillis) {
            val release = pending.poll()
            free[release.worker] += release.amount
        }
    }

    /** Places up to [count] tasks of [item] as the planner would, and returns how many found room. */
    fun place(item: WaitingItem, count: Int, nowMillis: Long): Int {
        val pool = reports.indices.filter { admits(item, reports[it]) && roomOf(item, it) > 0 }
        val whole = item.spec.gang
        val single = item.spec.dataRack != null || item.spec.rackSensitive && item.taskCount > 1
        val chosen = when {
            single && item.fitsOneRack -> pool.groupBy { reports[it].rack }.values
                .filter { rack -> rack.sumOf { roomOf(item, it) } >= count }
                .minByOrNull { rack -> rack.sumOf { free[it].accelerators } }
                .orEmpty()
            else -> pool
        }
        if (whole && chosen.sumOf { roomOf(item, it).toLong() } < count) return 0
        var left = count
        for (worker in chosen.sortedBy { free[it].accelerators }) {
            if (left == 0) break
            val placed = minOf(left, roomOf(item, worker))
            val amount = item.spec.reserved * placed
            free[worker] -= amount
            pending += Release(nowMillis + item.taskMillis, worker, amount)
            left -= placed
        }
        return count - left
    }

    private fun admits(item: WaitingItem, report: WorkerReport): Boolean = report.service == item.step.job.service &&
        (item.spec.constraint == null || item.spec.constraint in report.labels) &&
        (item.spec.dataRack == null || item.spec.dataRack == report.rack || item.spec.dataRack !in racks) &&
        (item.priority == URGENT || report.ref.id !in reserved)

    private fun roomOf(item: WaitingItem, worker: Int): Int =
        if (free[worker].holds(item.spec.reserved)) minOf(free[worker].count(item.spec.reserved), item.limit) else 0

    private val racks = reports.mapTo(HashSet()) { it.rack }
    private val capacityOfRacks = HashMap<Int, Boolean>()

    private val WaitingItem.limit: Int get() = if (spec.maxTasksPerWorker > 0) spec.maxTasksPerWorker else taskCount

    /** Whether the step would fit into one rack if nothing else ran there. */
    private val WaitingItem.fitsOneRack: Boolean
        get() = capacityOfRacks.getOrPut(shape) {
            reports.filter { admits(this, it) }.groupBy { it.rack }.values.any { rack ->
                rack.sumOf { minOf(it.capacity.count(spec.reserved), limit) } >= taskCount
            }
        }
}

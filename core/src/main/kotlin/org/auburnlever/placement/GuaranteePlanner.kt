package org.auburnlever.placement

import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.GuaranteeId
import org.auburnlever.ledger.GuaranteeRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.PlannedGuarantee
import org.auburnlever.ledger.WorkerRecord
import org.auburnlever.ledger.mask
import org.auburnlever.model.DomainName
import org.auburnlever.model.Shape

/** The guaranteed shapes for [domain], each with an id of its own; ids are numbered within an account. */
internal fun Bundle.guaranteedShapes(domain: DomainName): Map<GuaranteeId, Shape> {
    val shapes = LinkedHashMap<GuaranteeId, Shape>()
    accounts.forEach { account ->
        val own = account.guarantees.filter { it.failureDomain == domain }
            .flatMap { guarantee -> List(guarantee.count) { guarantee.shape } }
        own.forEachIndexed { index, shape -> shapes[GuaranteeId(account.name, index)] = shape }
    }
    return shapes
}

/** Plans disjoint placements for the guaranteed shapes that no job has claimed. */
internal class GuaranteePlanner(
    private val state: LedgerState,
    private val shapes: Map<GuaranteeId, Shape>,
    private val weights: Weights,
    private val nowMillis: Long,
) {
    private val entries = state.guarantees.entries
    private val claimed: Map<GuaranteeId, GuaranteeRecord> =
        entries.filter { (id, record) -> record.claimedBy != null && record.shape == shapes[id] }

    /**
     * Keeps the placements of the current plan and adds the missing ones. If one can't be added, also plans all of them
     * anew, the largest first, and returns the plan with fewer accelerators in unplaced shapes.
     */
    fun plan(): List<PlannedGuarantee> {
        val kept = placeUnclaimed(keepCurrent = true)
        val plan = if (kept.values.any { it == null }) {
            listOf(kept, placeUnclaimed(keepCurrent = false)).minBy(::unplacedSize)
        } else {
            kept
        }
        return shapes.map { (id, shape) -> PlannedGuarantee(id, shape, claimed[id]?.placement ?: plan[id]) }
    }

    private fun unplacedSize(plan: Map<GuaranteeId, GangPlacement?>): Int =
        plan.filterValues { it == null }.keys.sumOf { shapes.getValue(it).acceleratorCount.coerceAtLeast(1) }

    private fun placeUnclaimed(keepCurrent: Boolean): Map<GuaranteeId, GangPlacement?> {
        val capacity = unclaimedCapacity()
        val plan = LinkedHashMap<GuaranteeId, GangPlacement?>()
        val unclaimed = shapes.filterKeys { it !in claimed }
        unclaimed.forEach { (id, shape) ->
            val old = entries[id]?.takeIf { keepCurrent && it.shape == shape }?.placement
            if (old != null && capacity.hasFree(old, shape)) {
                capacity.allocate(old, shape)
                plan[id] = old
            }
        }
        unclaimed.filterKeys { it !in plan }
            .entries
            .sortedByDescending { it.value.acceleratorCount }
            .forEach { (id, shape) -> plan[id] = capacity.findPlacement(shape)?.also { capacity.allocate(it, shape) } }
        return plan
    }

    /** Total capacity without the claimed guarantees; accelerators in use by borrowed work are used last. */
    private fun unclaimedCapacity(): Capacity {
        val usable = state.workers.values.filter { it.isUsable(nowMillis) && !it.isOnProbation(nowMillis) }
        val capacity = Capacity.total(usable, weights)
        claimed.values.forEach { record -> record.placement?.let { capacity.allocate(it, record.shape) } }
        usable.forEach { worker -> capacity.worker(worker.name)?.avoidMask = worker.busyMask }
        return capacity
    }
}

private fun Capacity.hasFree(placement: GangPlacement, shape: Shape): Boolean =
    placement.tasks.groupBy { it.worker }.all { (name, tasks) ->
        val worker = worker(name)
        val mask = tasks.fold(0L) { sum, task -> sum or task.mask() }
        worker != null && mask and worker.freeMask.inv() == 0L &&
            tasks.size.toLong() * shape.coresPerTask <= worker.freeCores &&
            tasks.size * shape.memoryMiBPerTask <= worker.freeMemoryMiB
    }

/** Whether a bundle's guarantees for one failure domain fit the announced workers. */
sealed interface GuaranteeCheck {
    /** All guaranteed shapes fit at the same time. */
    data object Fits : GuaranteeCheck

    /** The guarantees need [needed] of [resource] in sum, more than the [available] of all workers. */
    data class SumExceeds(
        val domain: DomainName,
        val resource: String,
        val needed: Long,
        val available: Long,
    ) : GuaranteeCheck

    /** The sums fit, but no placement exists for [unplaced] besides those of the others. */
    data class NoBlock(val domain: DomainName, val unplaced: List<PlannedGuarantee>) : GuaranteeCheck
}

/** Checks whether the guarantees of [bundle] for [domain] fit on [workers], without the lost ones. */
fun checkGuarantees(bundle: Bundle, domain: DomainName, workers: Collection<WorkerRecord>): GuaranteeCheck {
    val shapes = bundle.guaranteedShapes(domain)
    val present = workers.filter { !it.lost }
    return exceededSum(domain, shapes.values, present) ?: unplaced(domain, shapes, present, bundle)
}

private fun exceededSum(domain: DomainName, shapes: Collection<Shape>, workers: List<WorkerRecord>): GuaranteeCheck? =
    sequenceOf(
        GuaranteeCheck.SumExceeds(
            domain,
            "accelerators",
            shapes.sumOf { it.taskCount.toLong() * it.acceleratorsPerTask },
            workers.sumOf { it.acceleratorCount.toLong() },
        ),
        GuaranteeCheck.SumExceeds(
            domain,
            "cores",
            shapes.sumOf { it.taskCount.toLong() * it.coresPerTask },
            workers.sumOf { it.cores.toLong() },
        ),
        GuaranteeCheck.SumExceeds(
            domain,
            "memoryMiB",
            shapes.sumOf { it.taskCount * it.memoryMiBPerTask },
            workers.sumOf { it.memoryMiB },
        ),
    ).firstOrNull { it.needed > it.available }

private fun unplaced(
    domain: DomainName,
    shapes: Map<GuaranteeId, Shape>,
    workers: List<WorkerRecord>,
    bundle: Bundle,
): GuaranteeCheck {
    val empty = workers.map { it.copy(draining = false, suspension = null) }
    val state = LedgerState(domain).let { blank ->
        blank.copy(workers = empty.fold(blank.workers) { map, worker -> map.put(worker.name, worker) })
    }
    val weights = Weights(bundle.policy.completionTime, bundle.policy.fragmentation)
    val missing = GuaranteePlanner(state, shapes, weights, nowMillis = 0).plan().filter { it.placement == null }
    return if (missing.isEmpty()) GuaranteeCheck.Fits else GuaranteeCheck.NoBlock(domain, missing)
}

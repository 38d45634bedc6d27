package org.auburnlever.workload.planning

import org.auburnlever.workload.state.Resources

/**
 * A set of units that must end for a step.
 *
 * @property stopped the units that don't end by themselves in time
 * @property placements the worker of each task that fits once all units have ended
 */
internal class Preemption(
    val units: Set<PreemptionUnit>,
    val stopped: List<PreemptionUnit>,
    val placements: List<WorkerCapacity>,
    val costMilliCoreMillis: Long,
) {
    /** Work that the stops throw away. */
    val lostMilliCoreMillis: Long get() = stopped.sumOf { it.stopCost.lostMilliCoreMillis }
}

/**
 * Finds the cheapest way to free resources for urgent steps.
 *
 * Each choice frees one worker for a whole task, so that no work is stopped on a worker that then still lacks resources
 * for the task. Runs that are stopping already have no further cost.
 *
 * With [sharesFreedRoom], what the units chosen for a step leave beyond its need serves the steps after it.
 */
internal class PreemptionPlanner(
    private val fleet: FleetCapacity,
    private val units: PreemptionUnits,
    private val sharesFreedRoom: Boolean = false,
) {
    private val chosenUnits = HashSet<PreemptionUnit>()
    private val stoppedUnits = HashSet<PreemptionUnit>()

    private data class OfferKey(
        val priority: Int,
        val guaranteed: Boolean,
        val need: Resources,
        val patience: Long,
        val sharesFreedRoom: Boolean,
    )

    /** Work that ends by itself within [patienceMillis] is waited for. */
    private class Search(val step: WaitingStep, val patienceMillis: Long, val sharesFreedRoom: Boolean)

    /** Cache of the offers for a first task; many urgent steps of a burst need the same. */
    private val firstOffers = HashMap<OfferKey, HashMap<WorkerCapacity, PreemptionOffer>>()

    /**
     * Returns the cheapest preemption for [step] on one of [candidateSets], or null if none frees enough resources.
     *
     * Work that ends by itself within [patienceMillis] is waited for. With [sharesFreedRoom], the step may use what the
     * units chosen for earlier steps leave beyond their need.
     */
    fun find(
        step: WaitingStep,
        candidateSets: List<List<WorkerCapacity>>,
        patienceMillis: Long,
        sharesFreedRoom: Boolean = this.sharesFreedRoom,
    ): Preemption? {
        val patience = patienceMillis / PATIENCE_STEP_MILLIS * PATIENCE_STEP_MILLIS
        val search = Search(step, patience, sharesFreedRoom)
        return candidateSets.mapNotNull { candidates -> search.estimate(candidates)?.let { candidates to it } }
            .sortedBy { (_, estimate) -> estimate }
            .take(MAX_CANDIDATE_SETS_TRIED)
            .mapNotNull { (candidates, _) -> fleet.trial { search.preemptOn(candidates) } }
            .minByOrNull { it.costMilliCoreMillis }
    }

    /**
     * Allocates the placements of [preemption] for [step].
     *
     * The free resources of these workers are negative until the units have ended. [stops] tells whether the units that
     * don't end in time are stopped.
     */
    fun reserve(step: WaitingStep, preemption: Preemption, stops: Boolean = false) {
        chosenUnits += preemption.units
        if (stops) stoppedUnits += preemption.stopped
        val touched = preemption.units.flatMap { it.workers() }.toSet()
        firstOffers.values.forEach { it.keys -= touched }
        preemption.placements.forEach { it.allocate(step.spec.reserved) }
    }

    /** Estimates the cost of the step on [candidates] from one task on each worker; null if they can't hold it. */
    private fun Search.estimate(candidates: List<WorkerCapacity>): Long? {
        val count = step.tasks.size
        val known = knownOffers()
        val possible = candidates.filter { worker -> known.firstOffer(this, worker).units != null }
        val fitting = possible.sumOf { minOf(it.report.capacity.count(step.spec.reserved), count, step.allowedOn(it)) }
        if (fitting < count) return null
        val costs = possible.map { known.getValue(it).costMilliCoreMillis }.sorted().take(count)
        return costs.sum() + costs.last() * (count - costs.size)
    }

    private fun Search.preemptOn(candidates: List<WorkerCapacity>): Preemption? {
        val ending = LinkedHashSet<PreemptionUnit>()
        val placements = ArrayList<WorkerCapacity>()
        val offers = LinkedHashMap<WorkerCapacity, PreemptionOffer>()
        val known = knownOffers()
        candidates.forEach { worker -> offers.update(worker, known.firstOffer(this, worker)) }
        repeat(step.tasks.size) {
            val (worker, offer) = offers.minByOrNull { it.value.costMilliCoreMillis } ?: return null
            val units = offer.units.orEmpty()
            units.forEach { unit -> unit.workersWithRepeats().forEach { it.release(unit.need) } }
            ending += units
            worker.allocate(step.spec.reserved)
            placements += worker
            // The offers of all other workers stay valid for the next task.
            val changed = units.flatMap { it.workers() } + worker
            changed.filter { it in offers }.distinct().forEach { other ->
                val full = placements.count { it === other } >= step.allowedOn(other)
                if (full) offers -= other else offers.update(other, offer(other, ending))
            }
        }
        val stopped = ending.filterNot { it.endsWithin(patienceMillis) }
        return Preemption(ending, stopped, placements, ending.sumOf { it.costWithin(patienceMillis) })
    }

    /** Returns the cached offers of a step, looked up once for all workers, since hashing the key is expensive. */
    private fun Search.knownOffers(): HashMap<WorkerCapacity, PreemptionOffer> {
        val key = OfferKey(step.priority, step.guaranteed, step.spec.reserved, patienceMillis, sharesFreedRoom)
        return firstOffers.getOrPut(key) { HashMap() }
    }

    private fun HashMap<WorkerCapacity, PreemptionOffer>.firstOffer(
        search: Search,
        worker: WorkerCapacity,
    ): PreemptionOffer {
        val cached = get(worker)
        if (cached != null && cached.free == worker.free) return cached
        return search.offer(worker, emptySet()).also { put(worker, it) }
    }

    private fun Search.offer(worker: WorkerCapacity, ending: Set<PreemptionUnit>): PreemptionOffer =
        if (step.allowedOn(worker) == 0) {
            PreemptionOffer(worker.free, null, patienceMillis)
        } else {
            val onWorker = if (sharesFreedRoom) units.soonestOn(worker.ref.id) else units.on(worker.ref.id)
            val chosen = ChosenUnits(freedOn(worker, ending)) { it in chosenUnits || it in ending }
            preemptionOffer(worker, step, onWorker, patienceMillis, chosen)
        }

    /** Returns what is free on [worker] once the units chosen for earlier steps have ended, if these are shared. */
    private fun Search.freedOn(worker: WorkerCapacity, ending: Set<PreemptionUnit>): Resources =
        if (sharesFreedRoom && chosenUnits.isNotEmpty()) {
            units.on(worker.ref.id)
                .filter { it in chosenUnits && it !in ending && (it in stoppedUnits || it.endsWithin(patienceMillis)) }
                .fold(worker.free) { free, unit -> free + unit.usedOn(worker.ref.id) }
        } else {
            worker.free
        }

    private fun PreemptionUnit.workersWithRepeats() = runs.mapNotNull { fleet.worker(it.second.id) }

    private fun PreemptionUnit.workers(): List<WorkerCapacity> = workersWithRepeats().distinct()

    private companion object {
        /**
         * Bounds the work in a large deployment, which has tens of racks. The cheapest sets by the estimate nearly
         * always include the cheapest one.
         */
        const val MAX_CANDIDATE_SETS_TRIED = 4

        /** Steps whose patience differs by less share their offers. */
        const val PATIENCE_STEP_MILLIS = 500L
    }
}

private fun MutableMap<WorkerCapacity, PreemptionOffer>.update(worker: WorkerCapacity, offer: PreemptionOffer) {
    if (offer.units == null) remove(worker) else put(worker, offer)
}

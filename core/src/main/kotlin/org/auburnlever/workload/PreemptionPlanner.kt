package org.auburnlever.workload

/**
 * A set of units to stop for a step.
 *
 * @property placements the worker of each task that fits once the victims have stopped
 */
internal class Preemption(val victims: Set<PreemptionUnit>, val placements: List<WorkerCapacity>) {
    val costMillis: Long get() = victims.sumOf { it.costMillis }
}

/**
 * Finds the cheapest work to preempt for urgent steps.
 *
 * Each choice frees one worker for a whole task, so that no work is stopped on a worker that then still lacks resources
 * for the task. Runs in [stopping] have no further cost.
 */
internal class PreemptionPlanner(
    private val fleet: FleetCapacity,
    private val jobs: Collection<JobRecord>,
    private val stopping: Set<TaskRun>,
    private val nowMillis: Long,
) {
    private val chosenVictims = HashSet<PreemptionUnit>()
    private val units by lazy(LazyThreadSafetyMode.NONE) { preemptionUnitsByWorker(jobs, stopping, nowMillis) }

    /** Cache of the offers for a first task, by priority and need; many urgent steps of a burst need the same. */
    private val firstOffers = HashMap<Pair<Int, Resources>, HashMap<WorkerCapacity, PreemptionOffer>>()

    /** Returns the cheapest preemption for [step] on one of [candidateSets], or null if none frees enough resources. */
    fun find(step: WaitingStep, candidateSets: List<List<WorkerCapacity>>): Preemption? =
        candidateSets.mapNotNull { candidates -> estimateMillis(step, candidates)?.let { candidates to it } }
            .sortedBy { (_, estimateMillis) -> estimateMillis }
            .take(MAX_CANDIDATE_SETS_TRIED)
            .mapNotNull { (candidates, _) -> fleet.trial { preemptOn(step, candidates) } }
            .minByOrNull { it.costMillis }

    /**
     * Allocates the placements of [preemption] for [step].
     *
     * The free resources of these workers are negative until the victims have ended.
     */
    fun reserve(step: WaitingStep, preemption: Preemption) {
        chosenVictims += preemption.victims
        val touched = preemption.victims.flatMap { it.workers() }.toSet()
        firstOffers.values.forEach { it.keys -= touched }
        preemption.placements.forEach { it.allocate(step.spec.reserved) }
    }

    /** Estimates the cost of [step] on [candidates] from one task on each worker; null if they can't hold it. */
    private fun estimateMillis(step: WaitingStep, candidates: List<WorkerCapacity>): Long? {
        val count = step.tasks.size
        val possible = candidates.filter { firstOffer(step, it).units != null }
        val fitting = possible.sumOf { minOf(it.report.capacity.count(step.spec.reserved), count) }
        if (fitting < count) return null
        val costs = possible.map { firstOffer(step, it).costMillis }.sorted().take(count)
        return costs.sum() + costs.last() * (count - costs.size)
    }

    private fun preemptOn(step: WaitingStep, candidates: List<WorkerCapacity>): Preemption? {
        val victims = LinkedHashSet<PreemptionUnit>()
        val placements = ArrayList<WorkerCapacity>()
        val offers = LinkedHashMap<WorkerCapacity, PreemptionOffer>()
        candidates.forEach { worker -> offers.update(worker, firstOffer(step, worker)) }
        repeat(step.tasks.size) {
            val (worker, offer) = offers.minByOrNull { it.value.costMillis } ?: return null
            val stopped = offer.units.orEmpty()
            stopped.forEach { unit -> unit.workersWithRepeats().forEach { it.release(unit.need) } }
            victims += stopped
            worker.allocate(step.spec.reserved)
            placements += worker
            // The offers of all other workers stay valid for the next task.
            val changed = stopped.flatMap { it.workers() } + worker
            changed.filter { it in offers }.distinct().forEach { offers.update(it, offer(step, it, victims)) }
        }
        return Preemption(victims, placements)
    }

    private fun MutableMap<WorkerCapacity, PreemptionOffer>.update(worker: WorkerCapacity, offer: PreemptionOffer) {
        if (offer.units == null) remove(worker) else put(worker, offer)
    }

    private fun firstOffer(step: WaitingStep, worker: WorkerCapacity): PreemptionOffer {
        val known = firstOffers.getOrPut(step.priority to step.spec.reserved) { HashMap() }
        val offer = known[worker]?.takeIf { it.free == worker.free } ?: offer(step, worker, emptySet())
        known[worker] = offer
        return offer
    }

    private fun offer(step: WaitingStep, worker: WorkerCapacity, victims: Set<PreemptionUnit>): PreemptionOffer =
        preemptionOffer(worker, step, units[worker.ref.id].orEmpty()) { it in chosenVictims || it in victims }

    private fun PreemptionUnit.workersWithRepeats() = runs.mapNotNull { fleet.worker(it.second.id) }

    private fun PreemptionUnit.workers(): List<WorkerCapacity> = workersWithRepeats().distinct()

    private companion object {
        /**
         * Bounds the work in a large deployment, which has tens of racks. The cheapest sets by the estimate nearly
         * always include the cheapest one.
         */
        const val MAX_CANDIDATE_SETS_TRIED = 4
    }
}

package org.auburnlever.workload

/** Runs to stop, and the workers on which each missing task then finds room. */
internal class Displacement(val victims: Set<Displaceable>, val hosts: List<RoomOnWorker>) {
    val costMillis: Long get() = victims.sumOf { it.costMillis }
}

/**
 * Finds the cheapest work to stop for urgent steps.
 *
 * A worker is freed for a whole task before the next one is looked at, so that no work is stopped on workers that stay
 * too full. Runs in [stopping] cost nothing more.
 */
internal class Displacements(
    private val room: FleetRoom,
    private val jobs: Collection<JobRecord>,
    private val stopping: Set<TaskRun>,
    private val nowMillis: Long,
) {
    private val claimed = HashSet<Displaceable>()
    private val units by lazy(LazyThreadSafetyMode.NONE) { displaceableOnWorkers(jobs, stopping, nowMillis) }

    /** Offers for a first task, by priority and need; many urgent steps of a burst need the same. */
    private val firstOffers = HashMap<Pair<Int, Resources>, HashMap<RoomOnWorker, DisplacementOffer>>()

    /** The cheapest displacement for [step] on one of [choices]; null if none makes enough room. */
    fun find(step: WaitingStep, choices: List<List<RoomOnWorker>>): Displacement? =
        choices.mapNotNull { candidates -> estimateMillis(step, candidates)?.let { candidates to it } }
            .sortedBy { (_, estimateMillis) -> estimateMillis }
            .take(MAX_CHOICES_TRIED)
            .mapNotNull { (candidates, _) -> room.trial { displace(step, candidates) } }
            .minByOrNull { it.costMillis }

    /** Keeps the room of [displacement] for [step]; it goes below zero until the victims have ended. */
    fun take(step: WaitingStep, displacement: Displacement) {
        claimed += displacement.victims
        val touched = displacement.victims.flatMap { it.workers() }.toSet()
        firstOffers.values.forEach { it.keys -= touched }
        displacement.hosts.forEach { it.take(step.spec.reserved) }
    }

    /** About what [step] costs on [candidates], from one task on each worker; null if they are too few. */
    private fun estimateMillis(step: WaitingStep, candidates: List<RoomOnWorker>): Long? {
        val count = step.tasks.size
        val possible = candidates.filter { firstOffer(step, it).units != null }
        val fitting = possible.sumOf { minOf(it.report.capacity.count(step.spec.reserved), count) }
        if (fitting < count) return null
        val costs = possible.map { firstOffer(step, it).costMillis }.sorted().take(count)
        return costs.sum() + costs.last() * (count - costs.size)
    }

    private fun displace(step: WaitingStep, candidates: List<RoomOnWorker>): Displacement? {
        val victims = LinkedHashSet<Displaceable>()
        val hosts = ArrayList<RoomOnWorker>()
        val offers = LinkedHashMap<RoomOnWorker, DisplacementOffer>()
        candidates.forEach { worker -> offers.update(worker, firstOffer(step, worker)) }
        repeat(step.tasks.size) {
            val (host, offer) = offers.minByOrNull { it.value.costMillis } ?: return null
            val stopped = offer.units.orEmpty()
            stopped.forEach { unit -> unit.workersWithRepeats().forEach { it.give(unit.need) } }
            victims += stopped
            host.take(step.spec.reserved)
            hosts += host
            // Only workers on which something changed can offer something else for the next task.
            val changed = stopped.flatMap { it.workers() } + host
            changed.filter { it in offers }.distinct().forEach { offers.update(it, offer(step, it, victims)) }
        }
        return Displacement(victims, hosts)
    }

    private fun MutableMap<RoomOnWorker, DisplacementOffer>.update(worker: RoomOnWorker, offer: DisplacementOffer) {
        if (offer.units == null) remove(worker) else put(worker, offer)
    }

    private fun firstOffer(step: WaitingStep, worker: RoomOnWorker): DisplacementOffer {
        val known = firstOffers.getOrPut(step.priority to step.spec.reserved) { HashMap() }
        val offer = known[worker]?.takeIf { it.free == worker.free } ?: offer(step, worker, emptySet())
        known[worker] = offer
        return offer
    }

    private fun offer(step: WaitingStep, worker: RoomOnWorker, victims: Set<Displaceable>): DisplacementOffer =
        offerOn(worker, step, units[worker.ref.id].orEmpty()) { it in claimed || it in victims }

    private fun Displaceable.workersWithRepeats() = runs.mapNotNull { room.worker(it.second.id) }

    private fun Displaceable.workers(): List<RoomOnWorker> = workersWithRepeats().distinct()

    private companion object {
        /** A large deployment has tens of racks, and the cheapest by the estimate are nearly always the cheapest. */
        const val MAX_CHOICES_TRIED = 4
    }
}

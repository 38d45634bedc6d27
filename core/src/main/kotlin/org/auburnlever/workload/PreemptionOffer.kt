package org.auburnlever.workload

/**
 * The units to stop on a worker to fit one more task.
 *
 * @property free the free resources of the worker that the offer was computed for
 * @property units units to stop; null if the task does not fit even if everything preemptible stops
 */
internal class PreemptionOffer(val free: Resources, val units: List<PreemptionUnit>?) {
    val costMillis = units.orEmpty().sumOf { it.costMillis }
}

/**
 * Chooses the cheapest of [units] on [worker] to stop for one more task of [step], without those [alreadyChosen].
 *
 * [units] are sorted by cost. Units that turn out not to be needed are dropped again, the most expensive first.
 */
internal fun preemptionOffer(
    worker: WorkerCapacity,
    step: WaitingStep,
    units: List<PreemptionUnit>,
    alreadyChosen: (PreemptionUnit) -> Boolean,
): PreemptionOffer {
    val need = step.spec.reserved
    val id = worker.ref.id
    var freed = worker.free
    val chosen = ArrayList<PreemptionUnit>()
    for (unit in units) {
        if (freed.holds(need)) break
        if (unit.mayBePreemptedBy(step) && !alreadyChosen(unit)) {
            chosen += unit
            freed += unit.usedOn(id)
        }
    }
    val enough = freed.holds(need)
    return PreemptionOffer(worker.free, if (enough) chosen.withoutUnneeded(freed, need, id) else null)
}

private fun List<PreemptionUnit>.withoutUnneeded(freed: Resources, need: Resources, id: String): List<PreemptionUnit> {
    if (size <= 1) return this
    var left = freed
    return reversed().filterNot { unit ->
        val unneeded = (left - unit.usedOn(id)).holds(need)
        if (unneeded) left -= unit.usedOn(id)
        unneeded
    }.reversed()
}

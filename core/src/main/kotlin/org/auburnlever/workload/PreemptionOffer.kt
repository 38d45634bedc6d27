package org.auburnlever.workload

/** Units to stop on a worker with [free] room for one more task; null if it doesn't fit whatever stops. */
internal class PreemptionOffer(val free: Resources, val units: List<PreemptionUnit>?) {
    val costMillis = units.orEmpty().sumOf { it.costMillis }
}

/**
 * The cheapest of [units] on [worker] to stop for one more task of [step]; [alreadyChosen] are left out.
 *
 * [units] are sorted by their cost. What need not stop after all is left out again, the dearest first.
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

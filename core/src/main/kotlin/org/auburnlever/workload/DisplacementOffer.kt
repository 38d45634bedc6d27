package org.auburnlever.workload

/** Units to stop on a worker with [free] room for one more task; null if it doesn't fit whatever stops. */
internal class DisplacementOffer(val free: Resources, val units: List<Displaceable>?) {
    val costMillis = units.orEmpty().sumOf { it.costMillis }
}

/**
 * The cheapest of [units] on [worker] to stop for one more task of [step]; [taken] are left out.
 *
 * [units] are sorted by their cost. What need not stop after all is left out again, the dearest first.
 */
internal fun offerOn(
    worker: RoomOnWorker,
    step: WaitingStep,
    units: List<Displaceable>,
    taken: (Displaceable) -> Boolean,
): DisplacementOffer {
    val need = step.spec.reserved
    val id = worker.ref.id
    var freed = worker.free
    val chosen = ArrayList<Displaceable>()
    for (unit in units) {
        if (freed.holds(need)) break
        if (unit.mayYieldTo(step) && !taken(unit)) {
            chosen += unit
            freed += unit.usedOn(id)
        }
    }
    val enough = freed.holds(need)
    return DisplacementOffer(worker.free, if (enough) chosen.withoutSpare(freed, need, id) else null)
}

private fun List<Displaceable>.withoutSpare(freed: Resources, need: Resources, id: String): List<Displaceable> {
    if (size <= 1) return this
    var left = freed
    return reversed().filterNot { unit ->
        val spare = (left - unit.usedOn(id)).holds(need)
        if (spare) left -= unit.usedOn(id)
        spare
    }.reversed()
}

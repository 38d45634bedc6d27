package org.auburnlever.workload.planning

import org.auburnlever.workload.state.Resources

/**
 * The units that have to end on a worker to fit one more task.
 *
 * @property free the free resources of the worker that the offer was computed for
 * @property units units that must end; null if the task does not fit even if everything preemptible ends
 */
internal class PreemptionOffer(val free: Resources, val units: List<PreemptionUnit>?, patienceMillis: Long) {
    val costMilliCoreMillis = units.orEmpty().sumOf { it.costWithin(patienceMillis) }
}

/**
 * The units whose end was chosen before.
 *
 * @property free what is free on the worker of an offer once those of them that the step shares have ended
 */
internal class ChosenUnits(val free: Resources, private val isChosen: (PreemptionUnit) -> Boolean) {
    operator fun contains(unit: PreemptionUnit): Boolean = isChosen(unit)
}

/**
 * Chooses the cheapest of [units] on [worker] that have to end for one more task of [step], without those that are
 * [chosen] already.
 *
 * Units that end within [patienceMillis] come before those that have to be stopped. [units] are sorted by cost. Units
 * that turn out not to be needed are dropped again, the most expensive first.
 */
internal fun preemptionOffer(
    worker: WorkerCapacity,
    step: WaitingStep,
    units: List<PreemptionUnit>,
    patienceMillis: Long,
    chosen: ChosenUnits,
): PreemptionOffer {
    val need = step.spec.reserved
    val id = worker.ref.id
    var freed = chosen.free
    val ending = ArrayList<PreemptionUnit>()
    val take = { unit: PreemptionUnit ->
        if (!freed.holds(need) && unit !in chosen) {
            ending += unit
            freed += unit.usedOn(id)
        }
    }
    units.forEach { if (it.endsWithin(patienceMillis)) take(it) }
    units.forEach { if (!it.endsWithin(patienceMillis) && it.mayBePreemptedBy(step)) take(it) }
    val enough = freed.holds(need)
    return PreemptionOffer(worker.free, if (enough) ending.withoutUnneeded(freed, need, id) else null, patienceMillis)
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

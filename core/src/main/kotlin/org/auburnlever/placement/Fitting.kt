package org.auburnlever.placement

import org.auburnlever.ledger.GangPlacement
import org.auburnlever.ledger.TaskPlacement
import org.auburnlever.world.Shape
import org.auburnlever.world.Spread
import org.auburnlever.world.WorkerName

/**
 * Finds the cheapest place for a gang of [shape], or null; takes nothing.
 *
 * Workers of [avoid] are left out. A gang of several tasks is packed onto few workers, neighbours first.
 */
internal fun Room.find(shape: Shape, avoid: Set<WorkerName> = emptySet()): GangPlacement? = when {
    !mayFit(shape) -> null
    shape.spread == Spread.WORKER || shape.taskCount == 1 -> findOnOneWorker(shape, avoid)
    shape.spread == Spread.RACK -> findOnOneWorker(shape, avoid) ?: findInOneRack(shape, avoid)
    else -> findOnOneWorker(shape, avoid) ?: findInOneRack(shape, avoid) ?: findAnywhere(shape, avoid)
}

private fun Room.findOnOneWorker(shape: Shape, avoid: Set<WorkerName>): GangPlacement? {
    var best: Slot? = null
    var bestCost = Double.MAX_VALUE
    slots.forEach { slot ->
        if (slot.accepts(shape, avoid) && slot.tasksThatFit(shape, shape.taskCount) >= shape.taskCount) {
            val cost = slot.cost(shape, shape.taskCount, weights)
            if (cost < bestCost) {
                best = slot
                bestCost = cost
            }
        }
    }
    return best?.let { fill(listOf(Share(it, shape.taskCount)), shape) }
}

/** A worker on probation gets one single-task job at a time, so that its failure harms little. */
private fun Slot.accepts(shape: Shape, avoid: Set<WorkerName>): Boolean =
    worker !in avoid && (!probation || shape.taskCount == 1 && freeMask == allMask)

private fun Room.findInOneRack(shape: Shape, avoid: Set<WorkerName>): GangPlacement? = racks
    .mapNotNull { rack -> distribute(rack, shape, avoid) }
    .minByOrNull { shares -> shares.sumOf { it.slot.cost(shape, it.count, weights) } }
    ?.let { fill(it, shape) }

private fun Room.findAnywhere(shape: Shape, avoid: Set<WorkerName>): GangPlacement? =
    distribute(slots, shape, avoid)?.let { fill(it, shape) }

/** [count] tasks of the gang on one worker. */
private class Share(val slot: Slot, val count: Int)

/**
 * Distributes the tasks over [candidates], which are in order of position: always the worker that holds the most, the
 * one nearest to the last among equals, and for the remainder the worker with the cheapest fit.
 */
private fun Room.distribute(candidates: List<Slot>, shape: Shape, avoid: Set<WorkerName>): List<Share>? {
    val fits = candidates.filter { it.accepts(shape, avoid) }
        .map { Share(it, it.tasksThatFit(shape, shape.taskCount)) }
        .filter { it.count > 0 }
        .toMutableList()
    return if (fits.sumOf { it.count.toLong() } < shape.taskCount) null else pick(fits, shape)
}

private fun Room.pick(fits: MutableList<Share>, shape: Shape): List<Share> {
    val chosen = mutableListOf<Share>()
    var rest = shape.taskCount
    while (rest > 0) {
        val last = chosen.lastOrNull()?.slot?.position
        val enough = fits.filter { it.count >= rest }
        val next = enough.minByOrNull { it.slot.cost(shape, rest, weights) }
            ?: checkNotNull(fits.maxWithOrNull(compareBy({ it.count }, { -distance(it.slot, last) })))
        fits.remove(next)
        val share = Share(next.slot, minOf(rest, next.count))
        chosen += share
        rest -= share.count
    }
    return chosen
}

private fun distance(slot: Slot, position: Int?): Int =
    if (position == null) 0 else kotlin.math.abs(slot.position - position)

private fun fill(shares: List<Share>, shape: Shape): GangPlacement {
    val tasks = mutableListOf<TaskPlacement>()
    shares.forEach { share ->
        val scratch = share.slot.copyOf()
        repeat(share.count) { tasks += scratch.take(shape) }
    }
    return GangPlacement(tasks)
}

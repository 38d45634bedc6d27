package org.auburnlever.workload.holds

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.planning.FleetCapacity
import org.auburnlever.workload.state.Resources

/**
 * How much of each service's capacity is in use.
 *
 * @param fleet the reachable workers with what is really free on them
 */
internal class ServiceLoad(fleet: FleetCapacity) {
    private class Use(var capacity: Resources, var free: Resources)

    private val uses = HashMap<ServiceName, Use>()

    init {
        for (worker in fleet.workers) {
            val use = uses.getOrPut(worker.report.service) { Use(Resources.NONE, Resources.NONE) }
            use.capacity += worker.report.capacity
            use.free += worker.free
        }
    }

    /** Notes that [amount] of the capacity of [service] is taken into use. */
    fun take(service: ServiceName, amount: Resources) {
        uses[service]?.let { it.free -= amount }
    }

    /** Returns whether under half of the service's cores and under half of its accelerators are in use. */
    fun isIdle(service: ServiceName): Boolean = uses[service].let { use ->
        use != null && isIdle(use.free.milliCores, use.capacity.milliCores) &&
            isIdle(use.free.accelerators.toLong(), use.capacity.accelerators.toLong())
    }

    private fun isIdle(free: Long, capacity: Long): Boolean = capacity == 0L || free * 2 > capacity
}

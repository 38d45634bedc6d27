package org.auburnlever.workload

/** Runs to stop, and the workers on which each missing task then finds room. */
internal class Displacement(val victims: Set<Displaceable>, val hosts: List<RoomOnWorker>) {
    val costMillis: Long get() = victims.sumOf { it.costMillis }
}

/** Runs that end together when one of them is stopped; [costMillis] is weighted by what they use. */
internal class Displaceable(val runs: List<Pair<TaskRun, WorkerRef>>, val need: Resources, val costMillis: Long)

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
    private val units = jobs.flatMap { job -> job.units() }

    /** The cheapest displacement for [step] on one of [choices]; null if none makes enough room. */
    fun find(step: WaitingStep, choices: List<List<RoomOnWorker>>): Displacement? {
        val allowed = units.filter { it !in claimed && it.mayYieldTo(step) }.sortedBy { it.costMillis }.byWorker()
        return choices.mapNotNull { room.trial { displace(step, it, allowed) } }.minByOrNull { it.costMillis }
    }

    /** Keeps the room of [displacement] for [step]; it goes below zero until the victims have ended. */
    fun take(step: WaitingStep, displacement: Displacement) {
        claimed += displacement.victims
        displacement.hosts.forEach { it.free -= step.spec.reserved }
    }

    private fun displace(
        step: WaitingStep,
        candidates: List<RoomOnWorker>,
        allowed: Map<String, List<Displaceable>>,
    ): Displacement? {
        val victims = LinkedHashSet<Displaceable>()
        val hosts = ArrayList<RoomOnWorker>()
        val usable = candidates.filter(step::permits)
        repeat(step.tasks.size) {
            val (host, chosen) = usable
                .mapNotNull { worker ->
                    val offered = allowed[worker.ref.id].orEmpty().filter { it !in victims }
                    worker.freedFor(step, offered)?.let { worker to it }
                }
                .minByOrNull { (_, chosen) -> chosen.sumOf { it.costMillis } }
                ?: return null
            chosen.forEach(::release)
            victims += chosen
            host.free -= step.spec.reserved
            hosts += host
        }
        return Displacement(victims, hosts)
    }

    /** Units of [offered] to stop so that one more task fits on this worker; null if it doesn't fit whatever stops. */
    private fun RoomOnWorker.freedFor(step: WaitingStep, offered: List<Displaceable>): List<Displaceable>? {
        val need = step.spec.reserved
        val chosen = ArrayList<Displaceable>()
        var freed = free
        for (unit in offered) {
            if (freed.holds(need)) break
            chosen += unit
            freed += unit.usedOn(this)
        }
        if (!freed.holds(need)) return null
        for (unit in chosen.reversed()) {
            val without = freed - unit.usedOn(this)
            if (without.holds(need)) {
                chosen -= unit
                freed = without
            }
        }
        return chosen
    }

    private fun List<Displaceable>.byWorker(): Map<String, List<Displaceable>> =
        flatMap { unit -> unit.runs.map { it.second.id }.distinct().map { it to unit } }
            .groupBy({ it.first }, { it.second })

    private fun Displaceable.usedOn(worker: RoomOnWorker): Resources =
        need * runs.count { it.second.id == worker.ref.id }

    private fun release(unit: Displaceable) = unit.runs.forEach { (_, worker) ->
        room.worker(worker.id)?.let { it.free += unit.need }
    }

    private fun Displaceable.mayYieldTo(step: WaitingStep): Boolean = runs.all { (run, _) ->
        run in stopping || (jobs.firstOrNull { it.id == run.task.job }?.policy?.priority ?: 0) > step.priority
    }

    private fun JobRecord.units(): List<Displaceable> =
        assigned().groupBy { (id, _) -> if (spec.steps[id.step].gang) id.stepId else id }.values.map { unit(it) }

    private fun JobRecord.unit(tasks: List<Pair<TaskId, TaskRecord>>): Displaceable {
        val runs = tasks.mapNotNull { (id, task) -> task.worker?.let { TaskRun(id, task.run) to it } }
        val need = needOf(tasks.first().first)
        val stopped = runs.all { it.first in stopping }
        val elapsedMillis = tasks.sumOf { (_, task) -> RESTART_MILLIS + maxOf(0, nowMillis - task.assignedMillis) }
        val weight = need.milliCores + need.accelerators * MILLI_CORES_PER_ACCELERATOR
        return Displaceable(runs, need, if (stopped) 0 else elapsedMillis * weight + 1)
    }

    private companion object {
        /** The operators weigh an accelerator like 8 cores. */
        const val MILLI_CORES_PER_ACCELERATOR = 8_000

        /** What a stop costs besides the work done so far: the stop, the wait and the next start take about 2 s. */
        const val RESTART_MILLIS = 2_000L
    }
}

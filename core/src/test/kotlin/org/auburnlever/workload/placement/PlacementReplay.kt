package org.auburnlever.workload.placement

import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.Workload
import org.auburnlever.workload.catalog
import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.queue
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import java.util.Random
import kotlin.math.ln

/** Load of a queue: [rate] jobs each second, whose declared durations are off by up to [errorPercent]. */
internal class QueueLoad(
    val callers: Callers,
    val rate: Double,
    val tasks: Int,
    val workMillis: Int,
    val need: Resources,
    val errorPercent: Int,
)

/** A job earns [worth] within its objective of [constant] + [stretch] x work, and [late] within three times that. */
internal enum class Callers(
    val rackPercent: Int,
    val constant: Long,
    val stretch: Double,
    val worth: Double,
    val late: Double,
) {
    URGENT(80, 500, 1.5, 4.0, 0.8),
    GANG(60, 1_200, 3.0, 3.0, 0.9),
    BATCH(0, 3_000, 3.0, 1.0, 0.3),
}

/** Workers of a deployment, and the load of its queues. */
internal class Site(val capacity: Resources, val perRack: Int, val speeds: List<Int>, val queues: List<QueueLoad>)

/** Replays 30 s of [load] times the demand of [site] with bursts of twice that; tasks end by plain arithmetic. */
internal class PlacementReplay(private val site: Site, seed: Long, load: Double) {
    private val random = Random(seed)
    private val workload = Workload(nowMillis = START).withCatalog(
        catalog(
            queues = Callers.entries.map { callers ->
                val base = queue(callers.name, callers.ordinal)
                val policy = base.policy.copy(stretch = callers.stretch, targetLatencyMillis = callers.constant)
                base.copy(policy = policy)
            },
        ),
    )
    private val speeds = List(WORKERS) { site.speeds[random.nextInt(site.speeds.size)] }
    private val racks = List(WORKERS) { "d${it / PER_DOMAIN}r${it % PER_DOMAIN / site.perRack}" }
    private val forecast = object : DurationForecast by DeclaredDurations {
        override fun speedPercent(workerId: String) = speeds[workerId.toInt()]
    }
    private val workMillis = HashMap<String, Long>()
    private val ends = HashMap<TaskRun, Pair<Long, EndKind>>()
    private val arrivals = ArrayDeque(site.queues.flatMap { arrivalsOf(it, load) }.sortedBy { it.first })

    private fun arrivalsOf(queue: QueueLoad, load: Double) = ArrayList<Triple<Long, String, StepSpec>>().also { list ->
        var at = 0.0
        while (at < SECONDS) {
            at -= ln(1 - random.nextDouble()) / (queue.rate * load * if (at % 12 in 6.0..9.5) 2.0 else 1.0)
            val work = (queue.workMillis * (0.6 + 0.8 * random.nextDouble())).toLong()
            val batch = queue.callers == Callers.BATCH
            val accelerators = if (batch) 1 else ACCELERATORS[random.nextInt(ACCELERATORS.size)]
            val step = StepSpec(
                taskCount = queue.tasks / 2 + random.nextInt(queue.tasks),
                need = queue.need.copy(accelerators = accelerators),
                estimatedMillis = work * (100 - queue.errorPercent + random.nextInt(2 * queue.errorPercent)) / 100,
                gang = queue.callers == Callers.GANG,
                rackSensitive = random.nextInt(100) < queue.callers.rackPercent,
            )
            list += Triple(START + (at * 1000).toLong(), "${queue.callers}/%016x".format(workMillis.size), step)
            workMillis["%016x".format(workMillis.size)] = work
        }
    }

    /** Returns the served share of the worth, and the number of gangs that ended within the 30 s. */
    fun run(features: Set<SchedulingFeature>): Pair<Double, Int> {
        while (workload.nowMillis < START + 2 * SECONDS * 1000) {
            workload.nowMillis += 100
            val now = workload.nowMillis
            while (arrivals.isNotEmpty() && arrivals.first().first <= now) {
                val (_, name, step) = arrivals.removeFirst()
                workload.submit(name.substringBefore('/'), name.substringAfter('/'), step)
            }
            ends.filterValues { it.first <= now }.forEach { (run, end) ->
                workload.end(run.task.job, run.task.index, run.run, end.second)
                ends -= run
            }
            val stopping = ends.filterValues { it.second == EndKind.STOPPED }.keys.toSet()
            val views = List(WORKERS) {
                WorkerView(ref("$it"), report("$it", racks[it]).copy(capacity = site.capacity), now)
            }
            val jobs = workload.state.jobs.values
            val plan = planWork(PlanningInput(jobs, views, stopping, features = features, durations = forecast), now)
            plan.preempted.filter { it !in stopping }.forEach { ends[it] = now + 400 to EndKind.STOPPED }
            plan.assignments.forEach { start(it, now) }
        }
        val jobs = workload.state.jobs.values
        val gangs = jobs.filter { it.queue == Callers.GANG.name }
        return jobs.sumOf { it.earned() } / jobs.sumOf { Callers.valueOf(it.queue).worth } to
            gangs.count { it.endedMillis in 1..START + SECONDS * 1000 }
    }

    private fun JobRecord.earned(): Double {
        val callers = Callers.valueOf(queue)
        val objective = callers.constant + callers.stretch * workMillis.getValue(id)
        val took = endedMillis - acceptedMillis
        return when {
            endedMillis == 0L || took > 3 * objective -> 0.0
            took > objective -> callers.late
            else -> callers.worth
        }
    }

    private fun start(assignment: Assignment, now: Long) {
        workload.apply(WorkloadCommand.Assign(listOf(assignment)))
        val job = workload.job(assignment.step.job)
        val spec = job.spec.steps.single()
        val usedRacks = job.assigned().mapNotNull { (_, task) -> task.worker?.let { racks[it.id.toInt()] } }.toSet()
        val factor = if (spec.rackSensitive && usedRacks.size > 1) 3 else 1
        val slowest = assignment.workers.values.minOf { speeds[it.id.toInt()] }
        assignment.workers.forEach { (index, worker) ->
            val speed = if (spec.gang) slowest else speeds[worker.id.toInt()]
            val endMillis = now + 150 + workMillis.getValue(job.id) * factor * 100 / speed
            ends[TaskRun(assignment.step.task(index), assignment.run)] = endMillis to EndKind.DONE
        }
    }

    private companion object {
        const val START = 100_000L
        const val WORKERS = 246
        val ACCELERATORS = listOf(1, 2, 4, 8, 8)
        const val PER_DOMAIN = 41
        const val SECONDS = 30
    }
}

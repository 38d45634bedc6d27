package org.auburnlever.workload

import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.ready

/**
 * Finds jobs that stand still although there is room for them, as the operators' rule LOST does.
 *
 * A job stands still if nothing of it runs for 3 s on end while a task's turn has come, the workers have room for that
 * task or gang twice over, and under half of their capacity is in use. A long-running task stands still if it does not
 * run for 3 s on end, from 6 s after its last run or its acceptance, with room for it twice over.
 *
 * What runs is observed on the workers. Faults and their effects have ended by [calmMillis].
 */
internal class StandingJobs(private val calmMillis: Long) {
    /** The job or long-running task [name] stood still because a task of [step] did not start. */
    data class Violation(val name: String, val step: StepId, val sinceMillis: Long, val untilMillis: Long)

    private val sinceMillis = HashMap<String, Long>()
    private val lastSeenMillis = HashMap<TaskId, Long>()
    private val found = LinkedHashMap<Pair<String, Long>, Violation>()
    val violations: List<Violation> get() = found.values.toList()

    /** Observes the [running] workers, of which the [usable] ones take orders, reachable and not draining. */
    fun observe(
        state: WorkloadState,
        running: List<SimulatedWorker>,
        usable: List<SimulatedWorker>,
        nowMillis: Long,
    ) {
        val active = running.flatMap { it.active.keys }.toSet()
        active.forEach { lastSeenMillis[it] = nowMillis }
        val jobs = state.jobs.values.filter { it.phase == JobPhase.ACTIVE }
        val activeJobs = active.map { it.job }.toSet()
        val waiting = HashMap<String, StepId>()
        if (nowMillis >= calmMillis + FINISH_MILLIS && isUnderHalfInUse(running)) {
            jobs.filter { it.id !in activeJobs }.forEach { job ->
                job.stepsInTurn(nowMillis).filter { !job.spec.steps[it.step].longRunning }
                    .firstOrNull { hasRoomTwice(job, it, usable, active) }?.let { waiting[job.id] = it }
            }
        }
        if (nowMillis >= calmMillis + CONTACT_MILLIS) {
            jobs.forEach { job ->
                job.stepsInTurn(nowMillis).filter { job.spec.steps[it.step].longRunning }
                    .filter { hasRoomTwice(job, it, usable, active) }
                    .flatMap { step -> job.spec.steps[step.step].tasksOf(step) }
                    .filter { nowMillis - (lastSeenMillis[it] ?: job.acceptedMillis) >= RESTART_MILLIS }
                    .forEach { waiting["$it"] = it.stepId }
            }
        }
        sinceMillis.keys.retainAll(waiting.keys)
        waiting.forEach { (name, step) ->
            val since = sinceMillis.getOrPut(name) { nowMillis }
            if (nowMillis - since >= STANDING_MILLIS) found[name to since] = Violation(name, step, since, nowMillis)
        }
    }

    /** Returns the steps with unfinished tasks whose turn has come. */
    private fun JobRecord.stepsInTurn(nowMillis: Long): List<StepId> =
        (0 until spec.occurrenceCount).filter { spec.dueMillis(it) <= nowMillis }
            .flatMap { occurrence -> spec.steps.indices.map { StepId(id, occurrence, it) } }
            .filter { ready(it) && step(it)?.done == false }

    private fun StepSpec.tasksOf(id: StepId): List<TaskId> = List(taskCount) { id.task(it) }

    private fun isUnderHalfInUse(workers: List<SimulatedWorker>): Boolean {
        val capacity = workers.map { it.capacity }.reduce { sum, other -> sum + other }
        val used = workers.map { it.capacity - it.free }.reduce { sum, other -> sum + other }
        return used.accelerators * 2 < capacity.accelerators && used.milliCores * 2 < capacity.milliCores
    }

    /** Returns whether the workers have room for a task of [step] twice over, or for its whole gang. */
    private fun hasRoomTwice(
        job: JobRecord,
        step: StepId,
        workers: List<SimulatedWorker>,
        active: Set<TaskId>,
    ): Boolean {
        val spec = job.spec.steps[step.step]
        val needed = if (spec.gang) 2 * spec.taskCount else 2
        val room = workers.filter { spec.constraint == null || spec.constraint in it.labels }.sumOf { worker ->
            val here = worker.active.keys.count { it in active && it.stepId == step }
            val allowed = if (spec.maxTasksPerWorker > 0) spec.maxTasksPerWorker - here else needed
            minOf(worker.free.count(spec.reserved), allowed).coerceIn(0, needed)
        }
        return room >= needed
    }

    private companion object {
        const val STANDING_MILLIS = 3_000L
        const val FINISH_MILLIS = 14_000L
        const val CONTACT_MILLIS = 4_000L
        const val RESTART_MILLIS = 6_000L
    }
}

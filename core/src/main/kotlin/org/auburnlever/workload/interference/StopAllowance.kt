package org.auburnlever.workload.interference

import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.RunView
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.StepRecord
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadState

/**
 * Decides which runs the scheduler may stop by its own choice without taking more tasks of a step than its
 * `missAllowed` permits.
 *
 * Load pattern: a burst of urgent jobs preempts long-running tasks while others of the same step are away, because
 * their worker failed or an earlier stop took them. A task counts as away, whatever the cause, unless a recent list
 * shows it at work; so what is away is known from the replicated state, and only the lists are learned anew after an
 * election. Stops of an earlier leader may still be carried out then, which no list shows beforehand, so for
 * `noticeMillis` after an election no such run is stopped.
 *
 * Steps without `missAllowed` are not bounded.
 */
internal class StopAllowance(
    private val runs: Map<TaskRun, RunView>,
    private val workers: Map<String, WorkerView>,
    private val electedMillis: Long,
    private val limits: WorkloadLimits,
    private val nowMillis: Long,
) {
    /** Returns the runs of [jobs] that may not be stopped by choice, assuming that all others are stopped at once. */
    fun protectedRuns(jobs: Collection<JobRecord>): Set<TaskRun> {
        val protected = HashSet<TaskRun>()
        for (job in jobs) {
            val bounded = job.phase == JobPhase.ACTIVE && job.spec.steps.any { it.missAllowed > 0 }
            if (bounded) protected += protectedRuns(job)
        }
        return protected
    }

    /** Returns whether [run] of [job] may be stopped now, as the only one. */
    fun permits(job: JobRecord, run: TaskRun): Boolean {
        val allowed = job.spec.steps[run.task.step].missAllowed
        val record = job.step(run.task.stepId)
        return allowed == 0 || record == null || isExempt(run) ||
            electionIsPast() && record.tasksAway(run.task) < allowed
    }

    private fun protectedRuns(job: JobRecord): List<TaskRun> = job.occurrences.flatMap { (occurrence, steps) ->
        steps.flatMapIndexed { index, record ->
            val spec = job.spec.steps[index]
            if (spec.missAllowed == 0) return@flatMapIndexed emptyList()
            val atWork = record.tasks.indices
                .filter { record.tasks[it].phase == TaskPhase.ASSIGNED }
                .map { TaskRun(TaskId(job.id, occurrence, index, it), record.tasks[it].run) }
                .filter { runs[it]?.stopSentMillis == null && !isExempt(it) }
            val away = record.tasks.size - atWork.count(::isAtWork)
            val left = if (electionIsPast()) maxOf(0, spec.missAllowed - away) else 0
            // A gang is stopped as a whole.
            if (spec.gang && left < record.tasks.size) atWork else atWork.drop(left)
        }
    }

    private fun StepRecord.tasksAway(except: TaskId): Int = tasks.withIndex().count { (index, task) ->
        index != except.index &&
            !(task.phase == TaskPhase.ASSIGNED && isAtWork(TaskRun(except.copy(index = index), task.run)))
    }

    private fun isAtWork(run: TaskRun): Boolean {
        val view = runs[run]
        // A stop may be carried out seconds after it is sent, so what a list shows must hold for longer than that.
        val oldestMillis = nowMillis - limits.noticeMillis / 2
        val listed = view?.listedMillis?.let { it >= oldestMillis } == true && view.percent >= AT_WORK_PERCENT
        return listed && view?.stopSentMillis == null && view?.missingSinceMillis == null
    }

    /** The rule does not cover workers that drain: their tasks end with them. */
    private fun isExempt(run: TaskRun): Boolean =
        runs[run]?.worker?.id?.let { workers[it]?.report?.draining } == true

    private fun electionIsPast(): Boolean = nowMillis - electedMillis >= limits.noticeMillis

    private companion object {
        const val AT_WORK_PERCENT = 100
    }
}

/** Returns the runs that this leader may not stop by choice; none unless [enabled]. */
internal fun LeaderState.protectedRuns(state: WorkloadState, enabled: Boolean, nowMillis: Long): Set<TaskRun> =
    if (enabled) {
        StopAllowance(runs, workers, electedMillis, limits, nowMillis).protectedRuns(state.jobs.values)
    } else {
        emptySet()
    }

package org.auburnlever.workload.admission

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.planning.usefulMillis
import org.auburnlever.workload.state.JobRecord

/**
 * Decides which jobs are turned away because they could not end while their answer is of use.
 *
 * Load pattern: for longer than the callers' objectives, more work arrives than the fleet can do. Without a limit each
 * job waits behind ever more others, and all of them end too late. The forecast is the shortest possible wait, so a job
 * is turned away only if it certainly can't be served, and never while there is room. Jobs within a guarantee,
 * scheduled jobs and long-running ones are always accepted.
 *
 * @property backlogs backlog of each service after the newest plan
 * @property returning work that was turned away and is expected back, in the order of its return
 */
internal data class AdmissionForecast(
    private val backlogs: Map<ServiceName, ServiceBacklog> = emptyMap(),
    private val returning: List<ReturningJob> = emptyList(),
) {
    /** A job that was told to come back at [returnMillis]; it then needs one worker for [workerMillis]. */
    data class ReturningJob(val service: ServiceName, val returnMillis: Long, val workerMillis: Long)

    /** Returns the forecast after another plan, without the jobs that were due to return before [nowMillis]. */
    fun updated(backlogs: Map<ServiceName, ServiceBacklog>, nowMillis: Long): AdmissionForecast =
        AdmissionForecast(backlogs, returning.filter { it.returnMillis > nowMillis })

    /**
     * Returns after how many milliseconds the caller of [job] should try again, or null if the job is to be accepted.
     *
     * Jobs that were turned away before count as waiting ahead of it, so that not all callers come back at once.
     */
    fun retryAfterMillis(job: JobRecord, guaranteed: Boolean): Long? {
        val backlog = backlogs[job.service]?.takeUnless { guaranteed || !job.canBeTurnedAway() } ?: return null
        val excessMillis = backlog.waitMillis(job.policy.priority) + job.criticalPathMillis() - job.usefulMillis()
        val returningMillis = returning.filter { it.service == job.service }.sumOf { it.workerMillis }
        return if (excessMillis > 0) excessMillis + returningMillis / maxOf(backlog.workerCount, 1) else null
    }

    /** Returns the forecast after [job] was turned away until [returnMillis]. */
    fun turnedAway(job: JobRecord, returnMillis: Long): AdmissionForecast {
        val work = job.spec.steps.sumOf { backlogs[job.service]?.workerMillis(it) ?: 0 }
        return copy(returning = returning + ReturningJob(job.service, returnMillis, work))
    }
}

/** Whether the job runs once, without delay, and ends by itself. */
internal fun JobRecord.canBeTurnedAway(): Boolean = spec.repetitions == 0 && spec.steps.none { it.longRunning }

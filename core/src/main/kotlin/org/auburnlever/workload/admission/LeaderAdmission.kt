package org.auburnlever.workload.admission

import com.github.michaelbull.result.get
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.SubmissionDecision
import org.auburnlever.workload.learning.declaredFor
import org.auburnlever.workload.learning.durations
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.guaranteedJobs
import org.auburnlever.workload.runs.LeaderState
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.ReturnSlot
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.admit
import org.auburnlever.workload.state.guarantees
import org.auburnlever.workload.state.newJob

/**
 * The leader's admission: by a [RoomForecast] with [SchedulingFeature.ADMISSION_FORECAST], otherwise by the backlog.
 *
 * It is volatile: a new leader forecasts from its first plans, and finds the return schedule in the replicated state.
 */
internal class LeaderAdmission(private val features: Set<SchedulingFeature>) {
    private val errors = ForecastErrors()
    private var backlog = AdmissionForecast()
    private var forecast: Lazy<RoomForecast>? = null
    private var accepted: List<JobRecord> = emptyList()

    /** Takes over a new plan; a forecast is computed only if a job is submitted before the next one. */
    fun planned(
        state: WorkloadState,
        input: PlanningInput,
        plan: WorkPlan,
        knownWorkers: Collection<WorkerView>,
        nowMillis: Long,
    ) {
        if (SchedulingFeature.ADMISSION_FORECAST !in features) {
            backlog = backlog.updated(backlogAfter(plan, input, knownWorkers, nowMillis), nowMillis)
            return
        }
        forecast = lazy(LazyThreadSafetyMode.NONE) { RoomForecast(input, plan, knownWorkers, nowMillis) }
        accepted = accepted.filter { it.id !in state.jobs && nowMillis - it.acceptedMillis < COMMIT_MILLIS }
    }

    /** Returns how the submission of the job [spec] is to be decided. */
    fun decide(state: WorkloadState, address: JobAddress, spec: JobSpec, nowMillis: Long): SubmissionDecision {
        val job = state.admit(address).get()?.let { state.copy(nowMillis = nowMillis).newJob(it, spec) }
        return when {
            job == null -> SubmissionDecision(WorkloadCommand.AcceptJob(address, spec))
            SchedulingFeature.ADMISSION_FORECAST in features -> {
                val slot = returnSlot(state, job, nowMillis)
                SubmissionDecision(WorkloadCommand.AcceptJob(address, spec, turnAway = slot != null, returnSlot = slot))
            }
            else -> {
                val retryAfterMillis = retryAfterMillis(state, job, nowMillis)
                val command = WorkloadCommand.AcceptJob(address, spec, turnAway = retryAfterMillis != null)
                SubmissionDecision(command, retryAfterMillis)
            }
        }
    }

    private fun retryAfterMillis(state: WorkloadState, job: JobRecord, nowMillis: Long): Long? {
        val expected = state.durations(features).declaredFor(job)
        val retryAfterMillis = backlog.retryAfterMillis(expected, isGuaranteed(state, job))
        if (retryAfterMillis != null && job.id !in state.jobs) {
            backlog = backlog.turnedAway(expected, nowMillis + retryAfterMillis)
        }
        return retryAfterMillis
    }

    /** Returns the slot with which [job] is to be turned away, or null if it is to be accepted. */
    private fun returnSlot(state: WorkloadState, job: JobRecord, nowMillis: Long): ReturnSlot? {
        val known = forecast
        val exempt = job.id in state.jobs || !job.canBeTurnedAway() || isGuaranteed(state, job)
        if (known == null || exempt) return null
        val control = AdmissionControl(state.durations(features))
        val decision = control.decide(job, known.value, accepted.filter { it.id != job.id }, state.returns, nowMillis)
        if (decision.slot == null) {
            errors.expect(job.id, decision.endMillis)
            accepted = accepted.filter { it.id != job.id } + job
        }
        return decision.slot
    }

    /** Compares the end of the job [id] with its forecast. */
    fun ended(id: String, nowMillis: Long) = errors.ended(id, nowMillis)

    /** Logs how far the forecasts were off. */
    fun logTo(leader: LeaderState) = errors.logTo(leader)

    private fun isGuaranteed(state: WorkloadState, job: JobRecord): Boolean =
        job.id in guaranteedJobs(state.jobs.values + job, state.guarantees())

    private companion object {
        /** Within this time, a job that is accepted is in the state, or its proposal has failed. */
        const val COMMIT_MILLIS = 500L
    }
}

package org.auburnlever.workload

import com.github.michaelbull.result.get
import org.auburnlever.model.AccountName
import org.auburnlever.workload.admission.AdmissionControl
import org.auburnlever.workload.admission.RoomForecast
import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.sharing.AccountShares
import org.auburnlever.workload.state.Account
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.Queue
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.admit
import org.auburnlever.workload.state.guarantees
import org.auburnlever.workload.state.newJob

/** Plays plans, starts and ends of a fleet in virtual time, without a network. */
internal class ReplayFleet(
    workers: Int,
    accounts: Map<String, Int>,
    private val features: Set<SchedulingFeature>,
    queues: List<Queue> = listOf(queue("urgent", 0), queue("gangs", 1), queue("routine", 2)),
    private val actualMillis: (StepSpec, TaskRun) -> Long = { step, _ -> step.estimatedMillis },
) {
    val workload = Workload(nowMillis = 100_000).withCatalog(
        catalog(queues = queues).copy(
            accounts = accounts.map { (name, guarantee) -> Account(AccountName(name), listOf(name), guarantee) },
        ),
    )
    private val reports = List(workers) { report("$it", rack = "r${it / PER_RACK}") }
    private val endMillis = LinkedHashMap<TaskRun, Long>()
    private var nextId = 1L

    fun submit(account: String, queue: String, spec: StepSpec): String {
        val id = "%016x".format(nextId++)
        workload.apply(WorkloadCommand.AcceptJob(address(queue, id, account), JobSpec("", listOf(spec))))
        return id
    }

    fun shares() = AccountShares.of(
        workload.state.jobs.values,
        views(),
        workload.state.guarantees(),
        DeclaredDurations,
        workload.nowMillis,
    )

    fun views() = reports.map { WorkerView(it.ref, it, lastContactMillis = workload.nowMillis) }

    /** Lets [millis] pass, with a plan every 100 ms and [onStep] before each. */
    fun play(millis: Long, onStep: (Long) -> Unit = {}) {
        val untilMillis = workload.nowMillis + millis
        while (workload.nowMillis < untilMillis) {
            workload.nowMillis += STEP_MILLIS
            val done = endMillis.filterValues { it <= workload.nowMillis }.keys
            if (done.isNotEmpty()) {
                workload.apply(WorkloadCommand.RecordEnds(done.map { RunEnd(it, EndKind.DONE, "") }))
                done.toList().forEach(endMillis::remove)
            }
            onStep(workload.nowMillis)
            plan()
        }
    }

    /** Makes the next plan without recording it, and forecasts from it. */
    fun forecast(): RoomForecast =
        RoomForecast(input(), planWork(input(), workload.nowMillis), views(), workload.nowMillis)

    fun newJob(id: String, account: String, queue: String, spec: StepSpec): JobRecord =
        checkNotNull(workload.state.admit(address(queue, id, account)).get())
            .let { workload.state.copy(nowMillis = workload.nowMillis).newJob(it, JobSpec("", listOf(spec))) }

    /** Submits a job and returns when it is forecast to end; a job that is turned away is not stored. */
    fun submitIfInTime(
        account: String,
        queue: String,
        spec: StepSpec,
        id: String = "%016x".format(nextId++),
    ): Submitted {
        val job = newJob(id, account, queue, spec)
        val control = AdmissionControl(DeclaredDurations)
        val decision = control.decide(job, forecast(), emptyList(), workload.state.returns, workload.nowMillis)
        val slot = decision.slot
        val command = WorkloadCommand.AcceptJob(address(queue, id, account), job.spec, slot != null, slot)
        return Submitted(id, decision.endMillis, workload.apply(command))
    }

    class Submitted(val id: String, val forecastEndMillis: Long, val reply: WorkloadReply) {
        val accepted: Boolean get() = reply == WorkloadReply.Done
    }

    private fun input() = PlanningInput(
        jobs = workload.state.jobs.values,
        workers = views(),
        features = features,
        accountOrder = shares(),
    )

    private fun plan() {
        val assignments = planWork(input(), workload.nowMillis).assignments
        workload.apply(WorkloadCommand.Assign(assignments))
        for (assignment in assignments) {
            val spec = workload.job(assignment.step.job).spec.steps[assignment.step.step]
            assignment.workers.keys.forEach { index ->
                val run = TaskRun(assignment.step.task(index), assignment.run)
                endMillis[run] = workload.nowMillis + actualMillis(spec, run)
            }
        }
    }

    /** Returns how many of the jobs [ids] have ended within [millis] of their acceptance. */
    fun endedWithin(ids: List<String>, millis: Long): Int = ids.map(workload::job).count {
        it.phase == JobPhase.SUCCEEDED && it.endedMillis - it.acceptedMillis <= millis
    }

    private companion object {
        const val STEP_MILLIS = 100L
        const val PER_RACK = 8
    }
}

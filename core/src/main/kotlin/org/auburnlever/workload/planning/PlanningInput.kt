package org.auburnlever.workload.planning

import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.holds.LeftOutWorker
import org.auburnlever.workload.interference.NeighbourEvidence
import org.auburnlever.workload.learning.DeclaredDurations
import org.auburnlever.workload.learning.DurationForecast
import org.auburnlever.workload.preemption.PreemptionControl
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.sharing.AccountOrder
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.TaskRun

/**
 * What a plan is made from.
 *
 * @property workers workers that may get new work
 * @property stopping runs that have been told to stop
 * @property progress newest progress of the runs that their workers have listed
 * @property guarantees accelerators that the urgent jobs of each account are entitled to at all times
 * @property urgentReserve accelerators that other work leaves free while more than half of the fleet is in use, so that
 *   a stream of small urgent jobs does not have to preempt it
 * @property features features that the deployment's settings switch on
 * @property durations forecast of task durations and worker speeds
 * @property accountOrder rank of each account within a priority
 * @property neighbours tasks that slow each other down on one worker
 * @property protectedRuns runs that must not be stopped for other work
 * @property leavingPercent share of the workers of each failure domain that are leaving; 0 if a domain is absent
 * @property preemption budget of what preemptions may discard
 * @property leftOut reachable workers that are not among [workers], or there with a part of their capacity
 */
data class PlanningInput(
    val jobs: Collection<JobRecord>,
    val workers: Collection<WorkerView>,
    val stopping: Set<TaskRun> = emptySet(),
    val progress: Map<TaskRun, RunProgress> = emptyMap(),
    val guarantees: Map<AccountName, Int> = emptyMap(),
    val urgentReserve: Int = 0,
    val limits: WorkloadLimits = WorkloadLimits(),
    val features: Set<SchedulingFeature> = emptySet(),
    val durations: DurationForecast = DeclaredDurations,
    val accountOrder: AccountOrder = AccountOrder.EQUAL,
    val neighbours: NeighbourEvidence = NeighbourEvidence.NONE,
    val protectedRuns: Set<TaskRun> = emptySet(),
    val leavingPercent: Map<DomainName, Int> = emptyMap(),
    val preemption: PreemptionControl = PreemptionControl(),
    val leftOut: List<LeftOutWorker> = emptyList(),
)

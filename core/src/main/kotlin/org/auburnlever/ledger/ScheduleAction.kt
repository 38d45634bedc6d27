package org.auburnlever.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.AccountName
import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName

/** Accelerators of one worker that a task holds; [accelerators] is a contiguous run of indices. */
@Serializable
data class TaskPlacement(val worker: WorkerName, val accelerators: List<Int>)

/** Placement of each task of a gang, by task index. */
@Serializable
data class GangPlacement(val tasks: List<TaskPlacement>)

/** One guaranteed shape of an account; [index] numbers the account's guarantees in this failure domain. */
@Serializable
data class GuaranteeId(val account: AccountName, val index: Int)

/** A guaranteed shape and the placement at which it can be claimed; null if there is none at present. */
@Serializable
data class PlannedGuarantee(val id: GuaranteeId, val shape: Shape, val placement: GangPlacement?)

/** A decision of the scheduler, validated again when it is applied. */
@Serializable
sealed interface ScheduleAction {
    /** Reserves [placement] for a queued job; [guarantee] names the guaranteed shape that it claims, if any. */
    @Serializable
    @SerialName("place")
    data class Place(
        val jobId: String,
        val placement: GangPlacement,
        val guarantee: GuaranteeId?,
        val reason: String,
    ) : ScheduleAction

    /** Stops a job to free capacity for [forJobId]; it is queued again if it is repeatable. */
    @Serializable
    @SerialName("preempt")
    data class Preempt(
        val jobId: String,
        val graceMillis: Long,
        val reason: String,
        val forJobId: String? = null,
    ) : ScheduleAction

    /** Ends a queued job that can never run. */
    @Serializable
    @SerialName("refuse")
    data class Refuse(val jobId: String, val reason: String) : ScheduleAction

    /** Replaces the plan for unclaimed guarantees. */
    @Serializable
    @SerialName("plan_guarantees")
    data class PlanGuarantees(val bundleVersion: Long, val plan: List<PlannedGuarantee>) : ScheduleAction

    /** Excludes a worker from scheduling until [untilMillis] of ledger time. */
    @Serializable
    @SerialName("suspend_worker")
    data class SuspendWorker(val worker: WorkerName, val untilMillis: Long, val reason: String) : ScheduleAction

    /** Records why a queued job waits and what would let it run. */
    @Serializable
    @SerialName("wait")
    data class Wait(val jobId: String, val reason: String) : ScheduleAction

    /** Replaces the policy by that of a newer bundle. */
    @Serializable
    @SerialName("use_policy")
    data class UsePolicy(val policy: LedgerPolicy) : ScheduleAction
}

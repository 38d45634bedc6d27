package org.auburnlever.workload.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.model.DomainName

/** A replicated change of the [WorkloadState]. */
@Serializable
sealed interface WorkloadCommand {
    /** Activates [catalog] if its version is the highest; [document] is its source text. */
    @Serializable
    @SerialName("change_catalog")
    data class ChangeCatalog(val catalog: Catalog, val document: String) : WorkloadCommand

    /**
     * Stores a job that was submitted to [address]; a job whose id is stored already changes nothing.
     *
     * With [turnAway], the job is refused if it is not stored yet. Only the log tells whether an earlier attempt was
     * accepted, so the leader can't refuse a job without a command. The caller is then expected back at [returnSlot].
     */
    @Serializable
    @SerialName("accept_job")
    data class AcceptJob(
        val address: JobAddress,
        val spec: JobSpec,
        val turnAway: Boolean = false,
        val returnSlot: ReturnSlot? = null,
    ) : WorkloadCommand

    /** Cancels a job. */
    @Serializable
    @SerialName("cancel_job")
    data class CancelJob(val address: JobAddress) : WorkloadCommand

    /** Assigns tasks to workers; applied before they get their orders. All runs of a gang are in one [Assignment]. */
    @Serializable
    @SerialName("assign")
    data class Assign(val assignments: List<Assignment>) : WorkloadCommand

    /** Records how runs ended, or that they can't be active any more. */
    @Serializable
    @SerialName("record_ends")
    data class RecordEnds(val ends: List<RunEnd>) : WorkloadCommand

    /** Removes jobs that ended before [endedBeforeMillis] and have no assigned task left. */
    @Serializable
    @SerialName("forget_jobs")
    data class ForgetJobs(val endedBeforeMillis: Long) : WorkloadCommand

    /** Starts no more tasks in [failureDomain] until [EndEvacuation]. */
    @Serializable
    @SerialName("evacuate")
    data class Evacuate(val failureDomain: DomainName) : WorkloadCommand

    /** Withdraws the evacuation of [failureDomain]. */
    @Serializable
    @SerialName("end_evacuation")
    data class EndEvacuation(val failureDomain: DomainName) : WorkloadCommand
}

/** A command with the leader's time at its proposal. */
@Serializable
data class StampedWorkloadCommand(val nowMillis: Long, val command: WorkloadCommand)

/** The host and path that a client call was addressed to, and the key that it carried. */
@Serializable
data class JobAddress(val host: String, val path: String, val key: String?)

/**
 * New runs of tasks of one step, all with number [run]; [workers] holds the worker by task index.
 *
 * @property slowed whether the tasks run slowly because of their racks
 */
@Serializable
data class Assignment(
    val step: StepId,
    val run: Int,
    val workers: Map<Int, WorkerRef>,
    val slowed: Boolean = false,
)

/** How a run ended. */
@Serializable
enum class EndKind {
    DONE,
    FAILED,
    STOPPED,

    /** The worker's lease expired. */
    LAPSED,

    /** Another member of the gang ended, so the worker ended this one. */
    BROKEN,

    /** The other members of the gang did not start in time. */
    ALONE,

    /** The worker never began the run, or its incarnation ended. */
    LOST,
}

/**
 * The end of one run.
 *
 * @property checkpoint empty if no progress was saved
 * @property crash set if the run was lost because its worker crashed, or probably did
 * @property unseen whether neither an answer nor a list of the worker showed that the run began
 * @property startOpen whether the start got no answer, so that it may be carried out later
 */
@Serializable
data class RunEnd(
    val run: TaskRun,
    val kind: EndKind,
    val checkpoint: String,
    val crash: CrashTiming? = null,
    val unseen: Boolean = false,
    val startOpen: Boolean = false,
)

/** The outcome of a command. */
@Serializable
sealed interface WorkloadReply {
    /** The command took effect, now or at an earlier attempt. */
    @Serializable
    @SerialName("done")
    data object Done : WorkloadReply

    /** The runs that were assigned; the other ones of the command were stale. */
    @Serializable
    @SerialName("assigned")
    data class Assigned(val runs: List<TaskRun>) : WorkloadReply

    /** The ends are recorded; [endedJobs] are the jobs that ended with them. */
    @Serializable
    @SerialName("recorded")
    data class Recorded(val endedJobs: List<String>) : WorkloadReply

    /** The call was not admitted and had no effect; a job that was turned away is expected back at [returnMillis]. */
    @Serializable
    @SerialName("not_admitted")
    data class NotAdmitted(val reason: Inadmissible, val returnMillis: Long? = null) : WorkloadReply

    /**
     * The job that was submitted is stored already, and a first submission would not be admitted now for [reason].
     *
     * The caller must be told neither that the job is accepted, as the call is not allowed, nor that it never runs.
     */
    @Serializable
    @SerialName("stored_not_admitted")
    data class StoredNotAdmitted(val reason: Inadmissible) : WorkloadReply
}

/** Why a client's call is not admitted. */
@Serializable
enum class Inadmissible {
    NO_CATALOG,
    NO_QUEUE,
    BAD_KEY,

    /** There is no such job, or the path is not that of a job. */
    NO_JOB,

    /** The queue's jobs need tickets of a policy service, which this version does not request. */
    NEEDS_ADVICE,

    /** The fleet has more work than it can do while the job's answer is of use. */
    OVERLOADED,
}

package org.auburnlever.workload

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change of the [WorkloadState]. */
@Serializable
sealed interface WorkloadCommand {
    /** Puts [catalog] in force if its version is the highest. */
    @Serializable
    @SerialName("change_catalog")
    data class ChangeCatalog(val catalog: Catalog, val document: String) : WorkloadCommand

    /** Stores a job that arrived for [host] and [path] with [key]; repeated ids are one job. */
    @Serializable
    @SerialName("accept_job")
    data class AcceptJob(val address: JobAddress, val spec: JobSpec) : WorkloadCommand

    /** Cancels a job. */
    @Serializable
    @SerialName("cancel_job")
    data class CancelJob(val address: JobAddress) : WorkloadCommand

    /** Assigns tasks to workers; recorded before a worker is told. All runs of a gang are in one [Assignment]. */
    @Serializable
    @SerialName("assign")
    data class Assign(val assignments: List<Assignment>) : WorkloadCommand

    /** Records how runs ended, or that they can't be running any more. */
    @Serializable
    @SerialName("record_ends")
    data class RecordEnds(val ends: List<RunEnd>) : WorkloadCommand

    /** Drops jobs that ended before [endedBeforeMillis]. */
    @Serializable
    @SerialName("forget_jobs")
    data class ForgetJobs(val endedBeforeMillis: Long) : WorkloadCommand
}

/** A command and the leader's time at its proposal. */
@Serializable
data class StampedWorkloadCommand(val nowMillis: Long, val command: WorkloadCommand)

/** Where a client addressed a call, and its key. */
@Serializable
data class JobAddress(val host: String, val path: String, val key: String?)

/** Starts of tasks of one step, all with number [run]. */
@Serializable
data class Assignment(val step: StepId, val run: Int, val workers: Map<Int, WorkerRef>)

/** How a run ended at a worker. */
@Serializable
enum class EndKind {
    DONE,
    FAILED,
    STOPPED,

    /** The worker's lease ran out. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not come in time. */
    ALONE,

    /** The worker never began the run, or its life ended. */
    LOST,
}

/** The end of one run; [checkpoint] is empty if no progress was saved. */
@Serializable
data class RunEnd(val run: TaskRun, val kind: EndKind, val checkpoint: String)

/** What a command did. */
@Serializable
sealed interface WorkloadReply {
    /** The command took effect, or had taken effect before. */
    @Serializable
    @SerialName("done")
    data object Done : WorkloadReply

    /** The runs that were assigned; others were out of date. */
    @Serializable
    @SerialName("assigned")
    data class Assigned(val runs: List<TaskRun>) : WorkloadReply

    /** Ends are recorded; [endedJobs] are the jobs that ended with them. */
    @Serializable
    @SerialName("recorded")
    data class Recorded(val endedJobs: List<String>) : WorkloadReply

    /** The call was not admitted and had no effect. */
    @Serializable
    @SerialName("not_admitted")
    data class NotAdmitted(val reason: Inadmissible) : WorkloadReply
}

/** Why a client's call is not admitted. */
@Serializable
enum class Inadmissible {
    NO_CATALOG,
    NO_QUEUE,
    BAD_KEY,

    /** There is no such job, or the path can't name one. */
    NO_JOB,

    /** The queue's jobs need tickets of a policy service, which this version does not ask for. */
    NEEDS_ADVICE,
}

package org.auburnlever.workload.runs

import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef

/** An order of the leader to a worker, which refuses it if it has seen a higher [fencingToken]. */
sealed interface WorkerOrder {
    val worker: WorkerRef
    val fencingToken: Long

    /** Start [run] and extend the lease of all runs on the worker to [deadlineMillis] on the worker's clock. */
    data class Start(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val run: TaskRun,
        val payload: String,
        val checkpoint: String,
        val deadlineMillis: Long,
    ) : WorkerOrder

    /** Stop [run]; if its start has not arrived yet, the worker refuses it later. */
    data class Stop(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val run: TaskRun,
    ) : WorkerOrder

    /** Let [run] work at [percent] of its speed until another order or its end; its memory stays allocated. */
    data class Pace(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val run: TaskRun,
        val percent: Int,
    ) : WorkerOrder

    /**
     * Extend the lease, forget ends up to number [acknowledgedEnd], and list the active runs and the remaining ends.
     *
     * @property deadlineMillis new end of the lease on the worker's clock; null leaves the lease as it is
     * @property waitMillis maximum time that the answer waits for an end
     * @property connectMillis time for which a connection that is refused is tried again
     */
    data class Poll(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val acknowledgedEnd: Long,
        val deadlineMillis: Long?,
        val waitMillis: Long,
        val connectMillis: Long = 0,
    ) : WorkerOrder
}

/** Name of the kind of an order in logs. */
internal val WorkerOrder.kind: String
    get() = when (this) {
        is WorkerOrder.Start -> "start"
        is WorkerOrder.Stop -> "stop"
        is WorkerOrder.Pace -> "pace"
        is WorkerOrder.Poll -> "poll"
    }

/** A worker's answer to an order. */
sealed interface OrderAnswer {
    /** The order was carried out; the worker's clock showed [clockMillis]. */
    data class Done(val clockMillis: Long) : OrderAnswer

    /**
     * The answer to a poll.
     *
     * @property workerStartMillis start of the incarnation that answers; null if the worker does not tell it
     * @property ended ends that the worker has not been told to forget
     * @property complete whether all rows of the answer could be read; if not, a run that is not listed may be active
     */
    data class Listed(
        val clockMillis: Long,
        val workerStartMillis: Long?,
        val active: List<ActiveRun>,
        val ended: List<NumberedEnd>,
        val complete: Boolean = true,
    ) : OrderAnswer

    /** The order was refused for good and has had no effect. */
    data class Refused(val reason: RefusalReason) : OrderAnswer

    /** Another incarnation answers at the worker's address, so the addressed one has ended. */
    data object OtherIncarnation : OrderAnswer

    /**
     * No usable answer came; the order may still be carried out, even seconds later.
     *
     * @property connectionRefused whether nothing listens at the address
     * @property notSent whether no connection was opened, for whatever reason, so that the order is never carried out
     */
    data class Unknown(
        val message: String,
        val connectionRefused: Boolean = false,
        val notSent: Boolean = connectionRefused,
    ) : OrderAnswer
}

/** Why a worker refused an order. */
enum class RefusalReason {
    /** The worker has seen a higher fencing token. */
    FENCED,

    /** The run has ended or was stopped on the worker, or a higher run of the task has arrived. */
    OUTDATED,

    /** The deadline has passed. */
    TOO_LATE,
    NO_ROOM,
    NO_TICKET,

    /** The worker reports itself as unhealthy. */
    UNHEALTHY,
    MALFORMED,
}

/**
 * A run that is active on a worker; [percent] is its progress.
 *
 * @property figure measurement over the last half second: the tail of the response times in milliseconds for a task
 *   that serves, the cores in use in thousandths for others; null if the worker gives none
 */
data class ActiveRun(val run: TaskRun, val checkpoint: String, val percent: Int, val figure: Long? = null)

/** An end with its number, which a worker incarnation assigns in ascending order. */
data class NumberedEnd(val number: Long, val end: RunEnd)

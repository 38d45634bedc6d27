package org.auburnlever.workload

/** What the leader asks of a worker. Orders with a lower [fencingToken] than the worker has seen are refused. */
sealed interface WorkerOrder {
    val worker: WorkerRef
    val fencingToken: Long

    /** Start [run]; all that runs on the worker may go on until [deadlineMillis] on the worker's clock. */
    data class Start(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val run: TaskRun,
        val payload: String,
        val checkpoint: String,
        val deadlineMillis: Long,
    ) : WorkerOrder

    /** Stop [run]; a run that has not arrived yet is refused later. */
    data class Stop(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val run: TaskRun,
    ) : WorkerOrder

    /**
     * Extend the lease to [deadlineMillis] on the worker's clock unless that is null, forget ends up to
     * [acknowledgedEnd], and list what runs and what ended; the answer waits up to [waitMillis] for an end.
     */
    data class Poll(
        override val worker: WorkerRef,
        override val fencingToken: Long,
        val acknowledgedEnd: Long,
        val deadlineMillis: Long?,
        val waitMillis: Long,
    ) : WorkerOrder
}

/** How a worker took an order. */
sealed interface OrderAnswer {
    /** Carried out; the worker's clock showed [clockMillis]. */
    data class Done(val clockMillis: Long) : OrderAnswer

    /** What runs on the worker and which ends it has listed. */
    data class Listed(
        val clockMillis: Long,
        val workerStartMillis: Long?,
        val active: List<ActiveRun>,
        val ended: List<NumberedEnd>,
    ) : OrderAnswer

    /** Refused for good; the order has had no effect. */
    data class Refused(val reason: RefusalReason) : OrderAnswer

    /** Another life answers at the worker's address, so the one that was meant has ended. */
    data object OtherIncarnation : OrderAnswer

    /** No usable answer; the order may be carried out now or seconds later. */
    data class Unknown(val message: String) : OrderAnswer
}

/** Why a worker refused an order. */
enum class RefusalReason {
    /** It has seen a higher fencing token. */
    FENCED,

    /** The run ended or was stopped there, or a higher one came. */
    OUTDATED,

    /** The deadline has passed. */
    TOO_LATE,
    NO_ROOM,
    NO_TICKET,

    /** It calls itself unhealthy. */
    UNHEALTHY,
    MALFORMED,
}

/** A run at work; [percent] is its progress. */
data class ActiveRun(val run: TaskRun, val checkpoint: String, val percent: Int)

/** An end with its number in the worker's life. */
data class NumberedEnd(val number: Long, val end: RunEnd)

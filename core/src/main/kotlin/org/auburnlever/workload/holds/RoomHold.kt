package org.auburnlever.workload.holds

import org.auburnlever.workload.state.Resources

/**
 * Free room of one worker that a rule keeps from waiting steps.
 *
 * @property worker id of the worker
 * @property owner what the room is kept for or because of: the id of a step or a run, the failed jobs of a worker, or
 *   the expected urgent demand
 * @property room what is free on the worker and kept
 * @property untilMillis Unix time at which the rule ends for this owner at the latest; null if it has no such time
 */
data class RoomHold(
    val worker: String,
    val rule: HoldRule,
    val owner: String,
    val room: Resources,
    val untilMillis: Long?,
)

/**
 * The rules that keep free room from waiting steps.
 *
 * @property rank order in which their room is used where [HoldLimit] overrides them, the lowest first
 */
enum class HoldRule(internal val rank: Int) {
    /** Runs of several jobs failed on the worker, or it refused an order as unhealthy. */
    SUSPENDED_WORKER(rank = 8),

    /** A run on the worker makes no progress. */
    STALLED_WORKER(rank = 7),

    /** The worker returns from an evacuation and warms up. */
    WARM_UP(rank = 1),

    /** Room is gathered for a gang that does not fit yet. */
    GANG_RESERVATION(rank = 3),

    /** Room is gathered for an urgent step, while work that it preempts stops or ends. */
    URGENT_STEP(rank = 4),

    /** Room is kept for urgent jobs that are expected. */
    URGENT_DEMAND(rank = 2),

    /** No new tasks, so that a suspected task finds an idle worker. */
    DRAINED_WORKER(rank = 5),

    /** A suspected task runs without other jobs. */
    SUSPECTED_RUN(rank = 6),
}

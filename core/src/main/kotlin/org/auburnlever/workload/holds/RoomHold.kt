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
 * @property limitMillis time after which a rule ends for one owner, also on a busy fleet
 */
enum class HoldRule(internal val rank: Int, val limitMillis: Long) {
    /**
     * Runs of several jobs failed on the worker, or it refused an order as unhealthy.
     *
     * The limit is eight times the first suspension; a worker that fails all runs would use up their attempts.
     */
    SUSPENDED_WORKER(rank = 8, limitMillis = 40_000),

    /** A run on the worker makes no progress. Tasks of 10 s end in this time on other workers. */
    STALLED_WORKER(rank = 7, limitMillis = 10_000),

    /** The worker returns from an evacuation and warms up. */
    WARM_UP(rank = 1, limitMillis = 15_000),

    /** Room is gathered for a gang that does not fit yet. Most tasks that are in its way end in this time. */
    GANG_RESERVATION(rank = 3, limitMillis = 20_000),

    /** Room is gathered for an urgent step, while work that it preempts stops or ends. */
    URGENT_STEP(rank = 4, limitMillis = 10_000),

    /** Room is kept for urgent jobs that are expected. A job that waits for longer is no sign of others to come. */
    URGENT_DEMAND(rank = 2, limitMillis = 10_000),

    /** No new tasks, so that a suspected task finds an idle worker. Most tasks end in this time. */
    DRAINED_WORKER(rank = 5, limitMillis = 12_000),

    /** A suspected task runs without other jobs. A task that crashes its worker does so when it starts. */
    SUSPECTED_RUN(rank = 6, limitMillis = 5_000),
}

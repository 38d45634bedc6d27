package org.auburnlever.fleet

import org.auburnlever.consensus.ReplicaId

/**
 * What the leader knows of the other replicas.
 *
 * @property answeredMillis when each replica last answered in this term; without those that have not
 * @property replicating the replicas that have the log and get its new entries
 * @property departures when each replica last announced that it shuts down
 * @property leadsSinceMillis time of the election, from which a replica counts that has not answered since
 */
internal data class ReplicaHealth(
    val answeredMillis: Map<ReplicaId, Long>,
    val replicating: Set<ReplicaId>,
    val departures: Map<ReplicaId, Long>,
    val leadsSinceMillis: Long,
) {
    /** Returns whether [replica] has not answered for [durationMillis]. */
    fun isSilent(replica: ReplicaId, durationMillis: Long, nowMillis: Long): Boolean =
        nowMillis - (answeredMillis[replica] ?: leadsSinceMillis) > durationMillis

    /** Returns whether [replica] has announced that it shuts down and still answers. */
    fun isDeparting(replica: ReplicaId, nowMillis: Long): Boolean =
        departures[replica].let { it != null && nowMillis - it <= SILENCE_MILLIS } &&
            !isSilent(replica, SILENCE_MILLIS, nowMillis)

    /** Returns whether [replica] announced that it shuts down, and has not been heard of since. */
    fun hasDeparted(replica: ReplicaId, nowMillis: Long): Boolean {
        val announcedMillis = departures[replica] ?: return false
        // One that answers later has started again.
        val restarted = answeredMillis[replica].let { it != null && it > announcedMillis + SILENCE_MILLIS }
        val silent = nowMillis - announcedMillis > SILENCE_MILLIS && isSilent(replica, SILENCE_MILLIS, nowMillis)
        return silent && !restarted
    }

    /** Returns whether the learner [replica] answers, has the log, and stays. */
    fun canVote(replica: ReplicaId, nowMillis: Long): Boolean =
        replica in answeredMillis && replica in replicating &&
            !isSilent(replica, LEARNER_TIMEOUT_MILLIS, nowMillis) &&
            departures[replica].let { it == null || nowMillis - it > SILENCE_MILLIS }

    private companion object {
        /** Announcements are repeated, and heartbeats answered, several times in this time. */
        const val SILENCE_MILLIS = 600L

        /** Heartbeats are sent every 100 ms, so a working learner answers several times in this time. */
        const val LEARNER_TIMEOUT_MILLIS = 1_000L
    }
}

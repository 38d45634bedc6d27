package org.auburnlever.workload.leaderless

import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.Queue
import org.auburnlever.workload.state.criticalPathMillis

/**
 * A call of which no attempt can have had an effect, while no leader answers.
 *
 * @property objectiveMillis time within which the caller wants the result; null for calls without such a time
 * @property workMillis the part of [objectiveMillis] that the work itself takes
 * @property id spreads the returns of callers with equal objectives
 */
data class WaitingCall(val objectiveMillis: Long?, val workMillis: Long, val id: String) {
    /** Time that the call can wait and still end within its objective. */
    val slackMillis: Long get() = ((objectiveMillis ?: 0) - workMillis - START_MILLIS).coerceAtLeast(0)

    /**
     * Returns how long after its arrival the call still waits usefully for a leader under [prospect].
     *
     * The load that this addresses: an election takes about 1 s, and a client has 4 attempts of 3 s, so that a refused
     * attempt is worth less than one that waits. A call waits as long as it can still end within its objective, and a
     * quarter of the objective in any case, above which a wait without an attempt costs more than an early refusal.
     * Without a majority of the control hosts no leader can follow, so only a short interruption is waited out.
     */
    fun waitMillis(prospect: LeaderProspect): Long {
        val objective = objectiveMillis ?: return DEFAULT_WAIT_MILLIS
        val quarter = objective / QUARTER
        return when (prospect) {
            LeaderProspect.Present -> maxOf(quarter, slackMillis)
            is LeaderProspect.Electing ->
                if (prospect.leaderlessMillis < ELECTIONS_MILLIS) maxOf(quarter, slackMillis) else quarter
            is LeaderProspect.HostsMissing ->
                (MISSING_WAIT_MILLIS - prospect.leaderlessMillis).coerceIn(0, quarter)
        }
    }

    /**
     * Returns after how long, in whole seconds, the refused caller should come back.
     *
     * Callers without slack come back first, and those with more slack are spread over the seconds after them, so that
     * the leader's first second is left to calls that waited and to urgent ones.
     */
    fun retryAfterMillis(prospect: LeaderProspect): Long {
        val firstSecond = if (prospect is LeaderProspect.HostsMissing) 2 else 1
        val patient = slackMillis >= PATIENT_SLACK_MILLIS
        val seconds = if (patient) PATIENT_SECONDS else minOf(slackMillis / SECOND_MILLIS, 1) + 1
        val spread = Math.floorMod(id.hashCode() * HASH_FACTOR ushr HASH_SHIFT, seconds.toInt())
        return (firstSecond + (if (patient) 1 else 0) + spread) * SECOND_MILLIS
    }

    companion object {
        /** A commit between regions, a plan and the start of a task. */
        private const val START_MILLIS = 300L
        private const val QUARTER = 4

        /** The same as for all calls in deployments without this feature. */
        private const val DEFAULT_WAIT_MILLIS = 1_000L

        /** Two elections; after that, the hosts evidently can't agree soon. */
        private const val ELECTIONS_MILLIS = 3_000L

        /** Broken links are opened again after 200 ms, and a host that restarts at once takes about 1 s. */
        private const val MISSING_WAIT_MILLIS = 1_000L

        /** Such a caller loses nothing if it returns several seconds later. */
        private const val PATIENT_SLACK_MILLIS = 6_000L
        private const val PATIENT_SECONDS = 3L
        private const val SECOND_MILLIS = 1_000L

        /** Spreads ids that differ in few digits (Fibonacci hashing). */
        private const val HASH_FACTOR = -1_640_531_527
        private const val HASH_SHIFT = 8

        /** Returns [call] as seen by an entry host that knows [queues]. */
        fun of(call: FleetCall, queues: List<Queue>): WaitingCall = when (call) {
            is FleetCall.SubmitJob -> ofJob(call.address, call.spec, queues)
            is FleetCall.CancelJob -> WaitingCall(objectiveMillis = null, workMillis = 0, id = call.address.path)
            is FleetCall.ReadJob -> WaitingCall(objectiveMillis = null, workMillis = 0, id = call.address.path)
            else -> WaitingCall(objectiveMillis = null, workMillis = 0, id = "")
        }

        private fun ofJob(address: JobAddress, spec: JobSpec, queues: List<Queue>): WaitingCall {
            val workMillis = spec.criticalPathMillis()
            val policy = queues.filter { it.host == address.host && address.path.startsWith(it.pathPrefix) }
                .maxByOrNull { it.pathPrefix.length }?.policy
            val objectiveMillis = policy?.let { it.targetLatencyMillis + (it.stretch * workMillis).toLong() }
            // With an unknown policy the call waits like an urgent one.
            return WaitingCall(objectiveMillis ?: (workMillis + workMillis / 2), workMillis, address.path)
        }
    }
}

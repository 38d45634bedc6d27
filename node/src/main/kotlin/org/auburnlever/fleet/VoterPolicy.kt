package org.auburnlever.fleet

/**
 * How many voters a group has, and after how long without an answer one is replaced.
 *
 * @property wantedVoters twice the number of hosts that may be lost at the same time, plus one
 * @property timeoutMillis time without an answer after which a learner takes the place of a voter
 */
internal data class VoterPolicy(val wantedVoters: Int, val timeoutMillis: Long) {
    companion object {
        /**
         * Returns the policy for a deployment whose operators count a replacement host as healthy [catchUpMillis] after
         * its start. Another host may be lost from then on, so the group must have all its voters by then.
         */
        fun of(toleratedHostLosses: Int, catchUpMillis: Long) = VoterPolicy(
            wantedVoters = toleratedHostLosses * 2 + 1,
            timeoutMillis = maxOf(MIN_TIMEOUT_MILLIS, catchUpMillis - CHANGE_MILLIS),
        )

        /** Covers the check of the voters, a removal and a promotion between regions. */
        private const val CHANGE_MILLIS = 1_000L

        /** A voter that is silent for less may only be slow. */
        private const val MIN_TIMEOUT_MILLIS = 2_000L
    }
}

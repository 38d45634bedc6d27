package org.auburnlever.ledger

private const val ESTIMATE_SMOOTHING = 0.2
private const val MIN_ESTIMATE_RATIO = 0.05
private const val MAX_ESTIMATE_RATIO = 20.0
private const val MILLIS_PER_SECOND = 1_000.0

/** Moves the account's estimate factor towards the ratio of observed to estimated run time of a completed [job]. */
internal fun Transition.updateEstimateFactor(job: JobRecord) {
    val seconds = (job.ranMillis + job.currentRunMillis(nowMillis)) / MILLIS_PER_SECOND
    if (job.spec.estimatedSeconds > 0) {
        val ratio = (seconds / job.spec.estimatedSeconds).coerceIn(MIN_ESTIMATE_RATIO, MAX_ESTIMATE_RATIO)
        val account = state.accounts[job.account] ?: AccountRecord()
        val factor = account.estimateFactor * (1 - ESTIMATE_SMOOTHING) + ratio * ESTIMATE_SMOOTHING
        state = state.copy(accounts = state.accounts.put(job.account, account.copy(estimateFactor = factor)))
    }
}

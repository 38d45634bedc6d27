package org.auburnlever.workload

/**
 * A scheduling feature that takes effect only where a deployment's settings call for it.
 *
 * @property key name of the feature in settings, logs and metrics
 */
enum class SchedulingFeature(val key: String) {
    /** Orders waiting work of one priority by what its account has had of its share. */
    FAIR_SHARING("fair-sharing"),

    /** Uses the durations of ended runs and the speeds of workers instead of declared durations. */
    LEARNED_DURATIONS("learned-durations"),

    /** Places tasks by a score over accelerators, cores and memory, and keeps whole workers and racks free. */
    SCARCE_PLACEMENT("scarce-placement"),

    /** Decides preemptions for all waiting urgent steps together, within a budget over time. */
    PREEMPTION_BUDGET("preemption-budget"),

    /** Rejects jobs that can't end in time by a forecast from running ends, waiting work and free room. */
    ADMISSION_FORECAST("admission-forecast"),

    /** Answers callers at once while no control host can lead, and spreads their return. */
    LEADERLESS_ADMISSION("leaderless-admission"),

    /** Notices tasks that slow each other down, keeps them apart and paces them. */
    INTERFERENCE("interference"),
    ;

    companion object {
        /**
         * Returns the features whose keys are in [switchedOn], for a deployment with [failureDomainCount] failure
         * domains.
         *
         * Smaller deployments are served without them: their few accounts and workers rarely compete for room that is
         * spread over several failure domains.
         */
        fun forDeployment(failureDomainCount: Int, switchedOn: Set<String>): Set<SchedulingFeature> =
            if (failureDomainCount < MIN_FAILURE_DOMAINS) {
                emptySet()
            } else {
                entries.filter { it.key in switchedOn }.toSet()
            }

        private const val MIN_FAILURE_DOMAINS = 6
    }
}

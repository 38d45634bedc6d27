package org.auburnlever.acceptance

/**
 * A whole session on a real deployment: start, configuration, requests, jobs, status, shutdown.
 *
 * Every answer is checked; the first check that does not hold ends it with [CheckFailedException]. The demo prints it
 * and the golden test compares its [transcript].
 */
class Session(deployment: Deployment, private val transcript: Transcript) {
    private val context = SessionContext(deployment, transcript)
    private val start = StartSteps(context)
    private val configuration = ConfigurationSteps(context)
    private val requests = RequestSteps(context)
    private val jobs = JobSteps(context)
    private val status = StatusSteps(context)

    /** Runs all steps. */
    fun run() {
        start.startHosts()
        configuration.accept(version = 1)
        start.startStandIns()
        requests.repeatable()
        requests.nonRepeatable()
        requests.unknownService()
        jobs.gang(requests.newKey("gang"))
        jobs.impossible(requests.newKey("large"))
        configuration.accept(version = 2)
        status.versions(version = 2)
        status.stopAll()
    }
}

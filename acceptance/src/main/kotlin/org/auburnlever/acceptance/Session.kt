package org.auburnlever.acceptance

/**
 * Runs a session with a real deployment: start, configuration, requests, jobs, status and shutdown.
 *
 * Every answer is checked; the first failed check ends the session with [CheckFailedException]. The demo prints the
 * [transcript], the golden test compares it with a file.
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
        configuration.rollOut(version = 1)
        start.startStandIns()
        requests.sendRepeatable()
        requests.sendNonRepeatable()
        requests.sendToUnknownService()
        jobs.runGang(requests.newIdempotencyKey("gang"))
        jobs.submitImpossible(requests.newIdempotencyKey("large"))
        configuration.rollOut(version = 2)
        status.checkVersions(version = 2)
        status.stopAll()
    }
}

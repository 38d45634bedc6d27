package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.Deployment
import org.auburnlever.acceptance.Programs
import org.auburnlever.acceptance.SessionContext
import org.auburnlever.acceptance.StandInControl
import org.auburnlever.acceptance.StartSteps
import org.auburnlever.acceptance.Transcript
import org.auburnlever.acceptance.ensure

/**
 * Measures one deployment while one quantity after another grows.
 *
 * Earlier quantities stay in place, except that endpoints and workers of a smaller size are stopped before those of
 * the next size start. The measured back ends, claims and tasks are all in the first failure domain;
 * [onProgress] gets one line for each step.
 */
internal class CapacityRun(private val deployment: Deployment, private val onProgress: (String) -> Unit) {
    private val context = SessionContext(deployment, Transcript(onProgress))
    private val domain = deployment.plan.failureDomains.first()
    private val relayed = RelayedBackEnds(context)
    private val sampler = UsageSampler(context, relayed)
    private val bundles = CapacityBundles(context)
    private val jobs = CapacityJobs(context)
    private val programs = Programs.find()
    private val points = mutableListOf<Point>()
    private val timings = mutableListOf<Timing>()

    /** Measures every quantity. */
    fun run(): Measurement {
        StartSteps(context).startHosts()
        ACCOUNTS.forEach { measureAccounts(it) }
        val relayedWorker = relayed.start()
        addZeroPoint("endpoints")
        ENDPOINTS.forEach { measureEndpoints(it) }
        addZeroPoint("claims")
        CLAIMS.zipWithNext().forEach { (before, count) -> measureClaims(count, count - before) }
        WORKERS.dropLast(1).forEach { count ->
            measureWorkers(count)
            deployment.stop(workersName(count))
        }
        val workers = measureWorkers(WORKERS.last())
        addZeroPoint("tasks")
        jobs.runTasks(TASKS_OF_ONE_WORKER, relayedWorker, deployment.plan.failureDomains.last())
        TASKS.forEach { measureTasks(it, workers) }
        timings += jobs.measureUrgentStart(workers)
        return Measurement(points, fitSlopes(points), timings)
    }

    private fun measureAccounts(count: Int) {
        timings += bundles.rollOut(count)
        record(sampler.measure("accounts", count))
    }

    /** Adds the last point again as the one with none of [quantity]; the load is the same, and the time is limited. */
    private fun addZeroPoint(quantity: String) {
        points += points.last().copy(quantity = quantity, size = 0)
    }

    private fun measureEndpoints(count: Int) {
        val name = "endpoints-$count"
        startStandIn(name, "endpoints", count, listOf("--service", CapacityBundles.SERVICE))
        record(sampler.measure("endpoints", count))
        if (count != ENDPOINTS.last()) deployment.stop(name)
    }

    private fun measureClaims(size: Int, count: Int) {
        val entry = deployment.plan.hostsOf(domain).joinToString(",") { it.address }
        val options = listOf("--entry", entry, "--service", CapacityBundles.SERVICE, "--non-repeatable-share", "1")
        val load = listOf("--requests", count.toString(), "--rate", CLAIM_RATE, "--tokens", context.accountToken.token)
        val bounds = listOf("--max-open", count.toString(), "--timeout-millis", CLAIM_TIMEOUT_MILLIS)
        val report = programs.run("standin", listOf("load") + options + load + bounds)
        ensure("completed: $count" in report.lines()) { "not every claim was recorded: $report" }
        record(sampler.measure("claims", size))
    }

    private fun measureWorkers(count: Int): StandInControl {
        val name = workersName(count)
        val workers = startStandIn(name, "workers", count, listOf("--accelerators", "2"))
        record(sampler.measure("workers", count))
        return workers
    }

    private fun measureTasks(count: Int, workers: StandInControl) {
        jobs.runTasks(count, workers)
        record(sampler.measure("tasks", count))
    }

    private fun startStandIn(name: String, kind: String, count: Int, options: List<String>): StandInControl {
        val common = listOf("--count", count.toString(), "--prefix", name, "--token", context.platformToken.token)
        return deployment.startStandIn(name, kind, domain, common + options)
    }

    private fun workersName(count: Int): String = "workers-$count"

    private fun record(point: Point) {
        points += point
        val first = point.hosts.first()
        onProgress("${point.quantity} ${point.size}: ${first.residentMiB.toInt()} MiB resident on ${first.host}")
    }

    private companion object {
        const val CLAIM_RATE = "200"

        /** On a busy machine, disk syncs delay claims by several seconds. */
        const val CLAIM_TIMEOUT_MILLIS = "30000"

        /** The ratio of 9,400 running tasks to 550 workers. */
        const val TASKS_OF_ONE_WORKER = 17
        val ACCOUNTS = listOf(4, 40, 120)
        val ENDPOINTS = listOf(40, 160)
        val CLAIMS = listOf(0, 1_000, 5_000)
        val WORKERS = listOf(10, 40, 92, 180)
        val TASKS = listOf(400, 1_600)
    }
}

package org.auburnlever.acceptance

import org.auburnlever.codec.Codec
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape
import org.auburnlever.standin.TaskEvent
import org.auburnlever.wire.Headers
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.JobView
import org.auburnlever.wire.Paths
import org.auburnlever.wire.TaskStatus
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GangFaultsTest {
    private val cluster = FaultCluster("gangs")
    private lateinit var workers: Map<String, StandInControl>

    @AfterTest
    fun close() = cluster.close()

    @Test
    fun `all tasks of a gang or none run when the ledger's leader or one of their workers is killed`() {
        cluster.start()
        workers = WORKERS.associateWith { cluster.startWorker(it, DOMAIN) }
        awaitTrue("all workers are known", LIMIT_MILLIS) { accelerators(OBSERVER)?.first == ALL_ACCELERATORS }
        checkGangSurvivesLeaderLoss("starting") { it.phase != JobPhase.QUEUED }
        checkGangSurvivesLeaderLoss("running") { it.phase == JobPhase.RUNNING }
        checkGangStopsAfterWorkerLoss()
    }

    /** Guards against a new leader that starts a part of a gang again or forgets the rest. */
    private fun checkGangSurvivesLeaderLoss(name: String, ready: (JobView) -> Boolean) {
        val leader = cluster.awaitLeader(GROUP, OBSERVER)
        val jobId = submit(name, SHORT_RUN_MILLIS)
        awaitJob(jobId, ready)
        cluster.deployment.process(leader).kill()
        val done = awaitJob(jobId) { it.phase == JobPhase.DONE }
        println("$name: leader $leader killed, job done in attempt ${done.attempt}")
        assertEquals("completed", done.outcome, "$done")
        assertEquals(listOf(RESULT, RESULT), done.results)
        checkAllOrNothing(workers.values.flatMap { it.events() }.filter { it.jobId == jobId })
        cluster.deployment.startHost(leader)
        awaitTrue("$leader votes", LIMIT_MILLIS) {
            "\"voter\"" in "${cluster.replica(leader, GROUP)?.get("role")}" && cluster.status(leader) != null
        }
    }

    /**
     * Checks that each placement started no task, or each task once after all were reserved, and that only one
     * completed.
     */
    private fun checkAllOrNothing(events: List<TaskEvent>) {
        events.groupBy { it.token }.forEach { (token, placement) ->
            val starts = placement.filter { it.status == TaskStatus.RUNNING }
            if (starts.isEmpty()) return@forEach
            assertEquals(listOf(0, 1), starts.map { it.taskIndex }.sorted(), "starts of token $token: $placement")
            val reserved = placement.filter { it.status == TaskStatus.RESERVED }
            assertEquals(listOf(0, 1), reserved.map { it.taskIndex }.sorted(), "reserved by token $token")
            assertTrue(
                reserved.maxOf { it.atMillis } <= starts.minOf { it.atMillis },
                "a task started before all were reserved: $placement",
            )
        }
        val completed = events.filter { it.status == TaskStatus.COMPLETED }
        assertEquals(listOf(0, 1), completed.map { it.taskIndex }.sorted(), "each task completes once")
        assertEquals(1, completed.map { it.token }.distinct().size, "tasks of one placement complete")
    }

    /**
     * Guards against a gang that keeps running in part, and against assigning accelerators whose lease has not ended.
     */
    private fun checkGangStopsAfterWorkerLoss() {
        val jobId = submit("loses-worker", LONG_RUN_MILLIS)
        awaitJob(jobId) { it.phase == JobPhase.RUNNING }
        val token = tokens(jobId).single()
        val members = workers.filterValues { control -> control.events().any { it.token == token } }.keys
        assertEquals(2, members.size)
        val (lost, survivor) = members.toList()
        cluster.deployment.process(lost).kill()
        val killedAt = System.currentTimeMillis()
        val remaining = workers - lost
        val stopped = await("the gang stops on $survivor", STOP_LIMIT_MILLIS) {
            remaining.getValue(survivor).events().firstOrNull { it.token == token && it.status == TaskStatus.STOPPED }
        }
        println("stopped on $survivor ${stopped.atMillis - killedAt} ms after $lost was killed: ${stopped.reason}")
        assertTrue(stopped.atMillis <= killedAt + STOP_LIMIT_MILLIS, "stopped after ${stopped.atMillis - killedAt} ms")
        awaitJob(jobId) { it.attempt == 2 && it.phase == JobPhase.RUNNING }
        val restarted = remaining.values.flatMap { it.events() }.filter { it.jobId == jobId && it.token > token }
        assertTrue(
            restarted.minOf { it.atMillis } >= killedAt + LEASE_MILLIS - HEARTBEAT_MILLIS,
            "accelerators were assigned before the lease ended: $restarted",
        )
        assertEquals(listOf(0, 1), restarted.filter { it.status == TaskStatus.RUNNING }.map { it.taskIndex }.sorted())
        // Hosts learn the capacity of a domain by gossip, so it follows the ledger with a delay.
        awaitTrue("the lost accelerators are not counted", GOSSIP_LIMIT_MILLIS, { "${accelerators(OBSERVER)}" }) {
            accelerators(OBSERVER) == ALL_ACCELERATORS - ACCELERATORS to 0
        }
    }

    private fun tokens(jobId: String) =
        workers.values.flatMap { it.events() }.filter { it.jobId == jobId }.map { it.token }.distinct()

    private fun accelerators(host: String): Pair<Int?, Int?>? =
        cluster.status(host)?.failureDomains?.first { it.failureDomain.value == DOMAIN }
            ?.let { it.acceleratorsTotal to it.acceleratorsFree }

    private fun submit(name: String, runMillis: Long): String {
        val spec = JobSpec(
            service = ServiceName("simulate"),
            shape = Shape(taskCount = 2, acceleratorsPerTask = ACCELERATORS),
            estimatedSeconds = runMillis / MILLIS_PER_SECOND,
            payload = """{"runMillis":$runMillis,"result":"$RESULT"}""",
            failureDomain = DomainName(DOMAIN),
        )
        val headers = mapOf(Headers.IDEMPOTENCY_KEY to FaultCluster.newIdempotencyKey(DOMAIN, name))
        val json = Codec.json.encodeToString(JobSpec.serializer(), spec)
        return await("job $name is accepted", LIMIT_MILLIS) {
            cluster.context.tryCall(OBSERVER, AccountCall("POST", Paths.JOBS, json, headers))?.let { jobView(it) }
        }.jobId
    }

    private fun awaitJob(jobId: String, ready: (JobView) -> Boolean): JobView {
        val read = AccountCall("GET", "${Paths.JOBS}/$jobId")
        val state = { cluster.context.tryCall(OBSERVER, read)?.body.orEmpty() }
        return await("the expected phase of $jobId", LIMIT_MILLIS, state) {
            cluster.context.tryCall(OBSERVER, read)?.let { jobView(it) }?.takeIf(ready)
        }
    }

    private fun jobView(answer: HttpAnswer): JobView? =
        answer.takeIf { it.status in SUCCESS }?.let { Codec.json.decodeFromString(JobView.serializer(), it.body) }

    private companion object {
        const val DOMAIN = "thies-a"
        const val GROUP = "ledger/$DOMAIN"

        /** A host that no test kills. */
        const val OBSERVER = "saint-louis-a-2"
        val WORKERS = listOf("worker-a", "worker-b", "worker-c")
        const val ACCELERATORS = 4
        const val ALL_ACCELERATORS = 12
        const val RESULT = "mould 7"
        const val SHORT_RUN_MILLIS = 3_000L
        const val LONG_RUN_MILLIS = 60_000L
        const val LIMIT_MILLIS = 20_000L
        const val GOSSIP_LIMIT_MILLIS = 5_000L
        const val MILLIS_PER_SECOND = 1_000L

        /** 12 s until the worker counts as lost, 1 s for the stop order and 2 s of grace. */
        const val STOP_LIMIT_MILLIS = 15_000L
        const val LEASE_MILLIS = 10_000L

        /** The lease runs from the last heartbeat, which was sent up to 1 s before the worker was killed. */
        const val HEARTBEAT_MILLIS = 1_000L
        val SUCCESS = 200..202
    }
}

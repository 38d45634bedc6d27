package org.auburnlever.ledger

import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.configuration.Guarantee
import org.auburnlever.configuration.Service
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.TaskStatus
import org.auburnlever.world.AccountName
import org.auburnlever.world.RackName
import org.auburnlever.world.ServiceName
import org.auburnlever.world.Shape
import org.auburnlever.world.WorkerName
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal val SERVICE = ServiceName("mould")
internal const val BASE_MILLIS = 1_764_820_800_000L

internal fun bundle(version: Long = 1, vararg accounts: ClientAccount): Bundle = Bundle(
    version = version,
    failureDomains = emptyList(),
    claimDomains = listOf(FakeWorker.DOMAIN),
    operators = emptyList(),
    signOffThreshold = 1,
    accounts = accounts.toList(),
    services = listOf(Service(SERVICE)),
    platformTokenDigests = emptyList(),
)

internal fun account(name: String, quota: Int = Int.MAX_VALUE, vararg guarantees: Shape): ClientAccount = ClientAccount(
    name = AccountName(name),
    tokenDigests = emptyList(),
    quotaAccelerators = quota,
    guarantees = guarantees.map { Guarantee(FakeWorker.DOMAIN, it) },
)

/** A ledger with its leader and a few workers, driven step by step; checks the invariants after each command. */
internal class Session(var bundle: Bundle, racks: Int = 2, perRack: Int = 3, accelerators: Int = 8) : TaskObserver {
    var nowMillis = BASE_MILLIS
    var state = LedgerState(FakeWorker.DOMAIN)
    var leader = LeaderState(nowMillis)
    var events = listOf<LedgerEvent>()
    val starts = mutableMapOf<TaskRef, Int>()
    private val run = mutableMapOf<String, Long>()
    private val partialSince = mutableMapOf<String, Long>()
    private var index = 0L
    private var submitted = 0
    val workers = List(racks * perRack) {
        val rack = RackName("rack-${it / perRack}")
        FakeWorker(WorkerName("w$it"), rack, it % perRack, accelerators, this)
    }

    override fun started(ref: TaskRef) {
        starts.merge(ref, 1, Int::plus)
    }

    override fun runMillis(jobId: String): Long = run[jobId] ?: 60_000

    fun apply(command: LedgerCommand): LedgerReply {
        index++
        val applied = state.apply(command, index, nowMillis)
        state = applied.state
        events = applied.events
        assertEquals(emptyList(), state.checkInvariants(), "after $command")
        return applied.reply
    }

    fun submit(account: String, spec: JobSpec, runMillis: Long = 60_000): String {
        val jobId = "j${submitted++}"
        run[jobId] = runMillis
        val key = RequestKey(AccountName(account), "${nowMillis / 1_000}-$jobId")
        apply(LedgerCommand.SubmitJob(jobId, key, "digest", spec))
        return jobId
    }

    /** One worker's heartbeat reaches the leader and is answered, unless [lost]. */
    fun beat(worker: FakeWorker, lost: Boolean = false) {
        val heartbeat = worker.heartbeat()
        take(heartbeat)
        if (!lost) worker.answer(ordersFor(state, heartbeat), nowMillis, nowMillis)
    }

    fun take(heartbeat: org.auburnlever.wire.WorkerHeartbeat) {
        val step = heartbeat(state, leader, heartbeat, nowMillis)
        leader = step.leader
        step.commands.forEach { apply(it) }
    }

    fun tick(): List<LedgerCommand> {
        val step = tick(state, leader, bundle, FakeWorker.DOMAIN, nowMillis)
        leader = step.leader
        step.commands.forEach { apply(it) }
        return step.commands
    }

    /** Lets [millis] pass in steps of half a second in which every worker that is online reports. */
    fun pass(millis: Long, drop: (FakeWorker) -> Boolean = { false }) = repeat((millis / STEP_MILLIS).toInt()) {
        nowMillis += STEP_MILLIS
        workers.forEach { it.step(nowMillis) }
        workers.filter { it.online }.forEach { beat(it, lost = drop(it)) }
        tick()
        checkWorkers()
    }

    fun phase(jobId: String): JobPhase? = state.job(jobId)?.phase

    fun outcome(jobId: String): Outcome? = state.job(jobId)?.outcome

    fun changeLeader() {
        leader = LeaderState(nowMillis)
        state = Codec.decode(Codec.encode(state))
    }

    /** What the workers really do: no accelerator runs two tasks, and no gang runs in part beyond the bound. */
    private fun checkWorkers() {
        val running = mutableMapOf<String, Int>()
        workers.forEach { worker ->
            val tasks = worker.tasks.filterValues { it.status == TaskStatus.RUNNING }
            val used = tasks.values.flatMap { it.accelerators }
            assertEquals(used.size, used.toSet().size, "accelerators of ${worker.name} run two tasks")
            tasks.keys.forEach { running.merge(it.jobId, 1, Int::plus) }
        }
        running.forEach { (jobId, count) -> checkGang(jobId, count) }
        partialSince.keys.retainAll(running.keys)
    }

    private fun checkGang(jobId: String, running: Int) {
        val job = state.jobs.all.getValue(jobId)
        val ended = workers.sumOf { worker ->
            worker.tasks.count { it.key.jobId == jobId && it.value.status == TaskStatus.COMPLETED }
        }
        val recorded = job.tasks.count { it.state == TaskState.COMPLETED }
        if (running + maxOf(ended, recorded) >= job.spec.shape.taskCount) {
            partialSince.remove(jobId)
        } else {
            val since = partialSince.getOrPut(jobId) { nowMillis }
            assertTrue(nowMillis - since <= PARTIAL_MILLIS, "$jobId ran in part for over $PARTIAL_MILLIS ms")
        }
    }

    companion object {
        const val STEP_MILLIS = 500L

        /** The design's bound for a gang that has lost a member, with one step of the session on top. */
        const val PARTIAL_MILLIS = 15_500L
    }
}

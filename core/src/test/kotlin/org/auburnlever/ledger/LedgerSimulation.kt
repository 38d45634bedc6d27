package org.auburnlever.ledger

import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.configuration.Guarantee
import org.auburnlever.configuration.Service
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat
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
internal class LedgerSimulation(
    var bundle: Bundle,
    racks: Int = 2,
    perRack: Int = 3,
    accelerators: Int = 8,
) : TaskObserver {
    var nowMillis = BASE_MILLIS
    var state = LedgerState(FakeWorker.DOMAIN)
    var leader = LeaderState(nowMillis)
    var events = listOf<LedgerEvent>()
    val startCounts = mutableMapOf<TaskRef, Int>()

    /** How often each kind of event occurred, to see that a random session reaches what it should test. */
    val eventCounts = mutableMapOf<String, Int>()
    private val runMillisByJob = mutableMapOf<String, Long>()
    private val partialSince = mutableMapOf<String, Long>()
    val sentHeartbeats = mutableListOf<WorkerHeartbeat>()
    private var index = 0L
    private val pending = ArrayDeque<LedgerCommand>()

    /** When true, proposals wait and are applied to a later state, as with a slow majority. */
    var delayProposals: () -> Boolean = { false }
    private var submitted = 0
    val workers = List(racks * perRack) {
        val rack = RackName("rack-${it / perRack}")
        FakeWorker(WorkerName("w$it"), rack, it % perRack, accelerators, this)
    }

    override fun started(ref: TaskRef) {
        startCounts.merge(ref, 1, Int::plus)
    }

    override fun runMillis(jobId: String): Long = runMillisByJob[jobId] ?: 60_000

    fun apply(command: LedgerCommand): LedgerReply {
        index++
        val applied = state.apply(command, index, nowMillis)
        state = applied.state
        events = applied.events
        events.forEach { eventCounts.merge(kindOf(it), 1, Int::plus) }
        assertEquals(emptyList(), state.checkInvariants(), "after $command")
        return applied.reply
    }

    private fun kindOf(event: LedgerEvent): String = when (event) {
        is LedgerEvent.JobMoved -> "${event.to} ${event.reason.substringBefore(' ')}"
        is LedgerEvent.JobEnded -> "ended ${event.outcome.wireName()}"
        is LedgerEvent.WorkerChanged -> event.kind.name
        is LedgerEvent.GuaranteeChanged -> "at risk ${event.atRisk}"
        is LedgerEvent.ActionIgnored -> "ignored ${event.action::class.simpleName}"
        else -> event::class.simpleName.orEmpty()
    }

    fun submit(account: String, spec: JobSpec, runMillis: Long = 60_000): String {
        val jobId = "j${submitted++}"
        runMillisByJob[jobId] = runMillis
        val key = RequestKey(AccountName(account), "${nowMillis / 1_000}-$jobId")
        apply(LedgerCommand.SubmitJob(jobId, key, "digest", spec))
        return jobId
    }

    /** One worker's heartbeat reaches the leader and is answered, unless [lost]. */
    fun exchangeHeartbeat(worker: FakeWorker, lost: Boolean = false) {
        val heartbeat = worker.heartbeat()
        sentHeartbeats += heartbeat
        receiveHeartbeat(heartbeat)
        val orders = ordersFor(state, heartbeat)
        orders.filterIsInstance<TaskOrder.Start>().forEach { start ->
            val states = state.jobs.all.getValue(start.jobId).tasks.map { it.state }
            assertTrue(states.all { it >= TaskState.RESERVED }, "start of ${start.jobId} with $states")
        }
        if (!lost) worker.receiveOrders(orders, nowMillis, nowMillis)
    }

    fun receiveHeartbeat(heartbeat: WorkerHeartbeat) {
        val step = handleHeartbeat(state, leader, heartbeat, nowMillis)
        leader = step.leader
        propose(step.commands)
    }

    private fun propose(commands: List<LedgerCommand>) {
        pending += commands
        if (!delayProposals()) applyPending()
    }

    fun applyPending() {
        while (pending.isNotEmpty()) apply(pending.removeFirst())
    }

    fun tick(): List<LedgerCommand> {
        val step = tick(state, leader, bundle, FakeWorker.DOMAIN, nowMillis)
        leader = step.leader
        propose(step.commands)
        return step.commands
    }

    /** Lets [millis] pass in steps of half a second in which every worker that is online reports. */
    fun advance(millis: Long, drop: (FakeWorker) -> Boolean = { false }) = repeat((millis / STEP_MILLIS).toInt()) {
        nowMillis += STEP_MILLIS
        workers.forEach { it.updateTasks(nowMillis) }
        workers.filter { it.online }.forEach { exchangeHeartbeat(it, lost = drop(it)) }
        tick()
        checkWorkers()
    }

    fun phase(jobId: String): JobPhase? = state.job(jobId)?.phase

    fun outcome(jobId: String): Outcome? = state.job(jobId)?.outcome

    /** The new leader has no soft state, and the proposals that were not committed are lost. */
    fun changeLeader() {
        pending.clear()
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
            assertTrue(
                nowMillis - maxOf(since, leader.electedMillis) <= PARTIAL_MILLIS,
                "$jobId ran in part for too long"
            )
        }
    }

    companion object {
        const val STEP_MILLIS = 500L

        /**
         * 12 s until the loss of a member is noticed, counted from the election of a new leader, and 10 s until the
         * lease of another member ends that lost contact just before the stop order; one step on top.
         */
        const val PARTIAL_MILLIS = 22_500L
    }
}

package org.auburnlever.ledger

import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.configuration.Guarantee
import org.auburnlever.configuration.Service
import org.auburnlever.model.AccountName
import org.auburnlever.model.RackName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat
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

/** Simulates a ledger with its leader and a few workers step by step; checks the invariants after each command. */
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

    /** How often each kind of event occurred, to check that random simulations reach the cases they should test. */
    val eventCounts = mutableMapOf<String, Int>()
    private val runMillisByJob = mutableMapOf<String, Long>()
    private val partialSince = mutableMapOf<String, Long>()
    val sentHeartbeats = mutableListOf<WorkerHeartbeat>()
    private var index = 0L
    private val pending = ArrayDeque<LedgerCommand>()

    /** While this returns true, proposals are kept and applied to a later state, as with a slow majority. */
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

    /** Sends a worker's heartbeat to the leader, and the leader's orders to the worker unless the reply is [lost]. */
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

    /** Advances the clock by [millis] in steps of 500 ms; in each, every online worker sends a heartbeat. */
    fun advance(millis: Long, drop: (FakeWorker) -> Boolean = { false }) = repeat((millis / STEP_MILLIS).toInt()) {
        nowMillis += STEP_MILLIS
        workers.forEach { it.updateTasks(nowMillis) }
        workers.filter { it.online }.forEach { exchangeHeartbeat(it, lost = drop(it)) }
        tick()
        checkWorkers()
    }

    fun phase(jobId: String): JobPhase? = state.job(jobId)?.phase

    fun outcome(jobId: String): Outcome? = state.job(jobId)?.outcome

    /** Elects a new leader, which has no soft state and restores a snapshot; uncommitted proposals are lost. */
    fun changeLeader() {
        pending.clear()
        leader = LeaderState(nowMillis)
        state = Codec.decode(Codec.encode(state))
    }

    /** Checks on the workers that no accelerator runs two tasks and no gang runs incomplete beyond [PARTIAL_MILLIS]. */
    private fun checkWorkers() {
        val running = mutableMapOf<String, Int>()
        workers.forEach { worker ->
            val tasks = worker.tasks.filterValues { it.status == TaskStatus.RUNNING }
            val used = tasks.values.flatMap { it.accelerators }
            assertEquals(used.size, used.toSet().size, "an accelerator of ${worker.name} runs two tasks")
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
                "only a part of the gang of $jobId ran for too long"
            )
        }
    }

    companion object {
        const val STEP_MILLIS = 500L

        /**
         * Longest time for which only a part of a gang may run: 12 s until the leader detects a lost worker, counted
         * from its election, and 10 s until the lease ends of another worker that lost contact just before the stop
         * order; one step is added.
         */
        const val PARTIAL_MILLIS = 22_500L
    }
}

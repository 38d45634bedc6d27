package org.auburnlever.consensus

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

private const val SCHEDULES = 3_000
private const val STEPS = 400
private const val THREADS = 3

class ScheduleTest {
    /**
     * Guards against two leaders in a term, lost or changed commits, replicas that apply different orders, stale reads,
     * proposals that are applied although they were rejected or their entries replaced, and groups that do not recover.
     * The failure message names the seed of each failing schedule.
     */
    @Test
    fun `seeded schedules of faults keep every guarantee`() {
        val pool = Executors.newFixedThreadPool(THREADS)
        val runs = (1L..SCHEDULES).map { seed -> pool.submit(Callable { runSeed(seed) }) }.map { it.get() }
        pool.shutdown()
        val failures = runs.mapNotNull { it.failure }
        assertTrue(failures.isEmpty(), "${failures.size} schedules failed:\n${failures.take(3).joinToString("\n")}")
        val totals = runs.flatMap { it.counts.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        println("$SCHEDULES schedules: $totals")
        // If few schedules reach a mechanism, such as reads or snapshots, passing says little about it.
        assertTrue(totals.values.all { it > SCHEDULES / 4 }, "too few events: $totals")
    }

    private class ScheduleResult(val failure: String?, val counts: Map<String, Int>)

    private fun runSeed(seed: Long): ScheduleResult {
        val schedule = FaultSchedule(seed)
        val failure = runCatching { schedule.run() }.exceptionOrNull()
        return ScheduleResult(failure?.let { "seed $seed: $it" }, schedule.counts())
    }
}

/** One run with random faults, then a period without faults in which the group has to recover. */
private class FaultSchedule(seed: Long) {
    private val random = Random(seed)
    private val thirdRole = if (random.nextBoolean()) ReplicaRole.WITNESS else ReplicaRole.VOTER
    private val cluster = Cluster(
        seed = random.nextLong(),
        members = mapOf("a" to ReplicaRole.VOTER, "b" to ReplicaRole.VOTER, "c" to thirdRole),
        spares = listOf("d"),
        // A narrow range of election timeouts makes replicas start elections at the same time.
        settings = SMALL_LIMITS.copy(electionTimeoutMaxMillis = if (random.nextBoolean()) 1_000 else 540),
        largeCommands = true,
    )
    private var lostDisks = 0

    fun run() {
        cluster.network.faulty = true
        cluster.slowDisks = true
        repeat(STEPS) {
            clientAction()
            if (random.nextInt(100) < 18) fault()
            restartStopped()
            cluster.advance(random.nextLong(5, 40))
        }
        recover()
    }

    fun counts() = mapOf(
        "committed" to cluster.history.commitIndex.toInt(),
        "commands in parts" to cluster.history.commandsInParts,
        "replaced proposals" to cluster.history.replacedProposals,
        "reads" to cluster.history.confirmedReads,
        "elections" to cluster.history.elections,
        "restores" to cluster.hosts.sumOf { it.restoreCount },
        "lost disks" to lostDisks,
    )

    // Clients also use leaders that were replaced but have not stepped down yet, where a stale read would come from.
    private fun clientAction() {
        val leaders = cluster.hosts.filter { it.state?.isLeader == true }
        val target = if (random.nextInt(5) > 0 && leaders.isNotEmpty()) leaders.random(random) else anyHost()
        when (random.nextInt(10)) {
            in 0..3 -> cluster.propose(target)
            in 4..7 -> cluster.read(target)
            else -> Unit
        }
    }

    private fun fault() = when (random.nextInt(20)) {
        0, 1 -> anyHost().crash()
        2, 3 -> leaderOrAnyHost().resumeMillis = cluster.nowMillis + random.nextLong(2_500)
        4, 5 -> cluster.network.cutLinks += anyHost().name to anyHost().name
        6 -> cluster.isolate(leaderOrAnyHost())
        in 7..10 -> cluster.network.cutLinks.clear()
        11 -> anyHost().submit(ReplicaInput.TransferLeadership(anyHost().id))
        12, 13 -> changeMembership()
        else -> loseDisk()
    }

    // Removing a voter while another has lost its disk, not yet noticed, would leave no majority that has the log.
    private fun changeMembership() {
        val leader = cluster.leader() ?: return
        val target = anyHost().id
        val change = when (random.nextInt(4)) {
            0 -> MembershipChange.Remove(target)
            1 -> MembershipChange.AddLearner(target)
            else -> MembershipChange.Promote(target, ReplicaRole.VOTER)
        }
        if (change !is MembershipChange.Remove || isFullyRepaired()) cluster.change(leader, change)
    }

    // A group of three voters survives the loss of a second disk only once the first is replaced.
    private fun loseDisk() {
        if (!isFullyRepaired()) return
        lostDisks++
        anyHost().loseDisk()
    }

    private fun isFullyRepaired(): Boolean {
        val membership = cluster.history.membership()
        val current = cluster.hosts.map { it.id }
        return membership.voters.size >= 3 &&
            membership.promotions.isEmpty() &&
            current.containsAll(membership.voters) &&
            cluster.hosts.all { it.settledOn(membership) }
    }

    private fun restartStopped() = cluster.hosts
        .filter { it.state == null && random.nextInt(100) < 8 }
        .forEach { it.start(cluster.nowMillis) }

    private fun recover() {
        cluster.heal()
        check(cluster.completesWrite(limitMillis = 20_000)) { "no write completes after the faults: ${describe()}" }
        cluster.advanceFor(5_000)
        cluster.read(checkNotNull(cluster.leader()) { "no leader after the faults" })
        val readsBefore = cluster.history.confirmedReads
        cluster.advanceFor(1_000)
        check(cluster.history.confirmedReads > readsBefore) { "no read is confirmed after the faults" }
        val membership = cluster.history.membership()
        check(membership.promotions.isEmpty()) { "replacements were not promoted: $membership ${describe()}" }
        val behind = cluster.hosts.filter { it.id in membership.roles && it.appliedIndex < cluster.history.commitIndex }
        check(behind.isEmpty()) { "${behind.map { it.id }} did not catch up: ${describe()}" }
    }

    private fun describe(): String = cluster.hosts.joinToString("\n") { host ->
        host.state?.run { "$id $raftRole term $term commit $commitIndex last $lastIndex $peers" } ?: "${host.id} down"
    }

    private fun leaderOrAnyHost(): SimulatedHost = cluster.leader().takeIf { random.nextBoolean() } ?: anyHost()

    private fun anyHost(): SimulatedHost = cluster.hosts.random(random)
}

package org.auburnlever.acceptance

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class ClaimFaultsTest {
    private val cluster = FaultCluster("claims")
    private val answers = ConcurrentHashMap<String, ConcurrentLinkedQueue<HttpAnswer>>()
    private val startedKeys = AtomicInteger()
    private val stopSending = AtomicBoolean()

    @AfterTest
    fun close() = cluster.close()

    @Test
    fun `keys run at most once while their ledger's leader is killed and later another one is suspended`() {
        // Guards against a claim that the next leader loses or grants again, and against refusing a request that ran.
        val endpoints = cluster.start().startEndpoints(DOMAIN, listOf("--count", "2", "--delay-millis", "20"))
        val callers = Thread { inParallel(List(CALLERS) { it }, ::sendUntilStopped) }.apply { start() }
        awaitStartedKeys(BATCH)
        val firstLeader = leader(cluster.hosts)
        cluster.deployment.process(firstLeader).kill()
        val killedAt = System.nanoTime()
        awaitAcceptedClaim("kill", cluster.hosts - firstLeader, killedAt, CLAIM_OUTAGE_LIMIT_MILLIS)
        awaitStartedKeys(startedKeys.get() + BATCH)
        cluster.deployment.startHost(firstLeader)
        awaitVoter(firstLeader)
        suspendLeader()
        awaitStartedKeys(startedKeys.get() + BATCH)
        stopSending.set(true)
        callers.join(JOIN_LIMIT_MILLIS)
        assertTrue(!callers.isAlive, "a caller did not end")
        resendUnanswered()
        answers.forEach { (key, received) -> checkKey(key, received.toList(), endpoints) }
        assertTrue(answers.values.count { list -> list.any { it.outcome == "completed" } } >= BATCH)
    }

    /**
     * Suspends the leader until another one leads; a term must never have two leaders, also after the old one resumes.
     */
    private fun suspendLeader() {
        val oldLeader = leader(cluster.hosts)
        val others = cluster.hosts - oldLeader
        val before = term(others.first())
        cluster.deployment.process(oldLeader).suspend()
        val suspendedAt = System.nanoTime()
        awaitAcceptedClaim("suspension", others, suspendedAt, CLAIM_OUTAGE_LIMIT_MILLIS + SILENT_LINK_CLOSE_MILLIS)
        val newLeader = leader(others)
        assertNotEquals(oldLeader, newLeader)
        awaitStartedKeys(startedKeys.get() + SMALL_BATCH)
        cluster.deployment.process(oldLeader).resume()
        val leaders = mutableSetOf<Pair<String, String>>()
        awaitTrue("$oldLeader knows a newer term", CATCH_UP_LIMIT_MILLIS, { "$leaders" }) {
            REPLICAS.mapNotNull { host -> leadership(host) }.forEach { leaders += it }
            (term(oldLeader) > before).also { assertEquals(leaders.map { it.first }.distinct().size, leaders.size) }
        }
    }

    /**
     * Returns the term in which [host] leads and its name, null if it does not lead; each term may have only one
     * leader.
     */
    private fun leadership(host: String): Pair<String, String>? = cluster.replica(host, GROUP)
        ?.takeIf { "\"leader\"" in "${it["activity"]}" }
        ?.let { "${it["term"]}" to host }

    private fun term(host: String): Long =
        cluster.status(host)?.groups?.firstOrNull { it.group == GROUP }?.term ?: 0

    private fun leader(candidates: List<String>): String =
        cluster.awaitLeader(GROUP, candidates.first { it.startsWith(DOMAIN) }, candidates)

    private fun awaitVoter(host: String) = awaitTrue("$host votes", CATCH_UP_LIMIT_MILLIS) {
        "\"voter\"" in "${cluster.replica(host, GROUP)?.get("role")}"
    }

    /** Sends claims through all [hosts] in parallel until one is accepted; fails if that takes over [limitMillis]. */
    private fun awaitAcceptedClaim(what: String, hosts: List<String>, sinceNanos: Long, limitMillis: Long) {
        val accepted = AtomicLong(Long.MAX_VALUE)
        inParallel(hosts) { host ->
            var probe = 0
            while (accepted.get() == Long.MAX_VALUE && millisSince(sinceNanos) < 2 * limitMillis) {
                val key = FaultCluster.newIdempotencyKey(DOMAIN, "probe-$what-$host-${probe++}")
                val answer = send(host, key, true, PROBE_TIMEOUT_MILLIS)
                if (answer.outcome == "completed") accepted.accumulateAndGet(millisSince(sinceNanos), ::minOf)
            }
        }
        println("first accepted claim ${accepted.get()} ms after the $what")
        assertTrue(accepted.get() <= limitMillis, "${accepted.get()} ms without claims after the $what")
    }

    private fun millisSince(nanos: Long): Long = (System.nanoTime() - nanos) / NANOS_PER_MILLI

    private fun awaitStartedKeys(count: Int) =
        awaitTrue("$count keys", BATCH_LIMIT_MILLIS, { "${startedKeys.get()}" }) {
            startedKeys.get() >= count
        }

    /**
     * Sends new keys until [stopSending]: each through one host, then again through others. Some refused keys are
     * never sent again.
     */
    private fun sendUntilStopped(caller: Int) {
        var number = 0
        while (!stopSending.get() && number < MAX_KEYS) {
            val key = FaultCluster.newIdempotencyKey(DOMAIN, "caller-$caller-${number++}")
            startedKeys.incrementAndGet()
            val hosts = cluster.hosts
            val first = send(hosts[(caller + number) % hosts.size], key, true, TIMEOUT_MILLIS)
            val dropKey = first.outcome == "refused" && number % 2 == 0
            if (!dropKey) (1..RESENDS).forEach { send(hosts[(caller + number + it) % hosts.size], key, false) }
        }
    }

    private fun send(host: String, key: String, first: Boolean, timeoutMillis: Long = TIMEOUT_MILLIS): HttpAnswer? {
        // A suspended host accepts connections and never answers; its callers give up after their own timeout.
        val headers = FaultCluster.nonRepeatableHeaders(key, first, timeoutMillis)
        val answer = cluster.request(host, key, headers, timeoutMillis + CALLER_GRACE_MILLIS)
        answers.computeIfAbsent(key) { ConcurrentLinkedQueue() }.add(answer ?: NO_ANSWER)
        return answer
    }

    /**
     * Resends each key that is neither completed nor only refused, until its outcome is final, then through another
     * host.
     */
    private fun resendUnanswered() {
        val openKeys = answers.filterValues { list -> list.none { it.outcome == "completed" } && !onlyRefused(list) }
        println("${answers.size} keys in ${answers.values.sumOf { it.size }} sends, ${openKeys.size} without an answer")
        inParallel(openKeys.keys) { key ->
            await("an outcome of $key", OUTCOME_LIMIT_MILLIS, { "${answers[key]}" }) {
                send(cluster.hosts.first(), key, false)?.takeIf { isFinal(it) }
            }
            send(cluster.hosts.last(), key, false)
        }
    }

    private fun isFinal(answer: HttpAnswer): Boolean =
        answer.outcome == "completed" || answer.outcome == "failed" || answer.outcome == "unknown" && !isPending(answer)

    /** Returns whether the answer says nothing about the stored outcome. */
    private fun isPending(answer: HttpAnswer): Boolean = answer.code in setOf("in_progress", "domain_unreachable")

    private fun onlyRefused(received: Collection<HttpAnswer>) = received.all { it.outcome == "refused" }

    private fun checkKey(key: String, received: List<HttpAnswer>, endpoints: StandInControl) {
        val runs = endpoints.runCount(sha256Hex(key))
        assertTrue(runs <= 1, "$key ran $runs times: $received")
        if (onlyRefused(received)) assertEquals(0, runs, "$key was refused but ran: $received")
        val completed = received.filter { it.outcome == "completed" }
        if (completed.isNotEmpty()) assertEquals(1, runs, "$key completed without a run: $received")
        assertTrue(completed.map { it.body }.distinct().size <= 1, "$key has several answers: $received")
        val afterFirst = received.dropWhile { it.outcome != "completed" }
            .filterNot { it === NO_ANSWER || isPending(it) }
        assertTrue(afterFirst.all { it.outcome == "completed" }, "$key changed its outcome: $received")
    }

    private companion object {
        const val DOMAIN = "thies-a"
        const val GROUP = "ledger/$DOMAIN"
        val REPLICAS = listOf("thies-a-1", "thies-a-2", "dakar-a-1")
        const val CALLERS = 6
        const val BATCH = 40

        /**
         * Smaller, since up to half of the sends go to the suspended host, wait for their timeout and so slow the keys.
         */
        const val SMALL_BATCH = 10
        const val MAX_KEYS = 400
        const val RESENDS = 2
        const val TIMEOUT_MILLIS = 3_000L
        const val CALLER_GRACE_MILLIS = 500L
        const val PROBE_TIMEOUT_MILLIS = 400L

        /** The requirements allow 2 s without claims after the loss of a leader. */
        const val CLAIM_OUTAGE_LIMIT_MILLIS = 2_000L

        /** A host that waits for a silent process notices the failure only when it closes the link after this time. */
        const val SILENT_LINK_CLOSE_MILLIS = 2_000L
        const val BATCH_LIMIT_MILLIS = 15_000L
        const val CATCH_UP_LIMIT_MILLIS = 10_000L
        const val OUTCOME_LIMIT_MILLIS = 10_000L
        const val JOIN_LIMIT_MILLIS = 20_000L
        const val NANOS_PER_MILLI = 1_000_000L
        val NO_ANSWER = HttpAnswer(0, emptyMap(), "no answer")
    }
}

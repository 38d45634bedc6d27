package org.auburnlever.acceptance

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val DOMAIN = "thies-a"
private const val GROUP = "ledger/$DOMAIN"
private const val RUNS = 20
private const val PROBERS = 4
private const val PROBE_MILLIS = 300L
private const val LIMIT_MILLIS = 20_000L
private const val LOAD_SECONDS = 8L
private const val LOAD_CALLERS = 64
private const val LOAD_TIMEOUT_MILLIS = 5_000L
private const val SYNC_COUNT = 500
private const val SYNC_BYTES = 400
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val NANOS_PER_MILLI = 1_000_000L
private const val PERCENT = 100

private val keyCount = AtomicLong()

/** Measures the failover time of a ledger and its durable claims per second; prints the figures and checks nothing. */
fun main() {
    FaultCluster("figures").use { cluster ->
        cluster.start().startEndpoints(DOMAIN, listOf("--count", "8", "--slots", "32"))
        printClaimRate(cluster)
        printFailover(List(RUNS) { failoverMillis(cluster) }.sorted())
    }
}

private fun printFailover(millis: List<Long>) {
    println("failover of $RUNS runs: p50 ${millis.percentile(50)} ms, p99 ${millis.percentile(99)} ms, all $millis")
}

private fun List<Long>.percentile(percent: Int): Long = this[(size * percent + PERCENT - 1) / PERCENT - 1]

/** Kills the leader, measures the time to the next completed request that needs a claim, and restarts the host. */
private fun failoverMillis(cluster: FaultCluster): Long {
    val leader = cluster.awaitLeader(GROUP, cluster.hosts.last())
    val others = cluster.hosts - leader
    cluster.deployment.process(leader).kill()
    val killedAt = System.nanoTime()
    val acceptedAt = AtomicLong(Long.MAX_VALUE)
    inParallel(List(PROBERS) { it }) { prober ->
        while (acceptedAt.get() == Long.MAX_VALUE && System.nanoTime() < killedAt + LIMIT_MILLIS * NANOS_PER_MILLI) {
            if (claim(cluster, others[prober], PROBE_MILLIS)) acceptedAt.accumulateAndGet(System.nanoTime(), ::minOf)
        }
    }
    cluster.deployment.startHost(leader)
    awaitTrue("$leader votes again", LIMIT_MILLIS) {
        "\"voter\"" in "${cluster.replica(leader, GROUP)?.get("role")}" && caughtUp(cluster, leader)
    }
    return (acceptedAt.get() - killedAt) / NANOS_PER_MILLI
}

private fun caughtUp(cluster: FaultCluster, host: String): Boolean =
    cluster.awaitLeader(GROUP, host).let { leader ->
        cluster.replica(leader, GROUP)?.get("commitIndex") == cluster.replica(host, GROUP)?.get("appliedIndex")
    }

private fun claim(cluster: FaultCluster, host: String, timeoutMillis: Long): Boolean {
    val key = FaultCluster.newIdempotencyKey(DOMAIN, "figure-${keyCount.incrementAndGet()}")
    return cluster.request(host, key, FaultCluster.nonRepeatableHeaders(key, true, timeoutMillis))
        .outcome == "completed"
}

/**
 * Measures completed non-repeatable requests per second under load.
 *
 * Each request writes its claim and its outcome to the ledger. The raw sync rate of the disk is measured before and
 * after the load.
 */
private fun printClaimRate(cluster: FaultCluster) {
    val before = syncsPerSecond()
    val completed = AtomicInteger()
    val sent = AtomicInteger()
    val localHosts = cluster.plan.hostsOf(DOMAIN).map { it.name }
    val end = System.nanoTime() + LOAD_SECONDS * NANOS_PER_SECOND
    inParallel(List(LOAD_CALLERS) { it }) { caller ->
        while (System.nanoTime() < end) {
            sent.incrementAndGet()
            if (claim(cluster, localHosts[caller % localHosts.size], LOAD_TIMEOUT_MILLIS)) completed.incrementAndGet()
        }
    }
    println("durable claims: ${completed.get() / LOAD_SECONDS}/s (${completed.get()} of ${sent.get()} completed)")
    println("raw syncs of $SYNC_BYTES bytes: $before/s before, ${syncsPerSecond()}/s after")
}

private fun syncsPerSecond(): Long {
    val file = Files.createTempFile(Path.of("target/faults"), "sync", ".bin")
    FileChannel.open(file, StandardOpenOption.WRITE).use { channel ->
        val since = System.nanoTime()
        repeat(SYNC_COUNT) {
            channel.write(ByteBuffer.allocate(SYNC_BYTES))
            channel.force(false)
        }
        return SYNC_COUNT * NANOS_PER_SECOND / (System.nanoTime() - since)
    }
}

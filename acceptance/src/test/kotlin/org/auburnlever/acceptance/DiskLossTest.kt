package org.auburnlever.acceptance

import kotlinx.serialization.json.jsonPrimitive
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class DiskLossTest {
    private val cluster = FaultCluster("disk")

    @AfterTest
    fun close() = cluster.close()

    @Test
    fun `a host with an empty disk is promoted again, and the domain then survives the loss of its other host`() {
        // Guards against a repaired replica that counts as a member but stores nothing, or that votes with no memory.
        val endpoints = cluster.start().startEndpoints(DOMAIN)
        val key = FaultCluster.newKey(DOMAIN, "before")
        val before = checkNotNull(claim(LOST, key, first = true))
        assertEquals("completed", before.outcome)
        val groups = cluster.plan.groups.filter { LOST in it.voters + it.witnesses }.map { it.name }
        val replicas = groups.associateWith { replica(it, "replica") }
        cluster.deployment.process(LOST).kill()
        cluster.deployment.loseDisk(LOST)
        cluster.deployment.startHost(LOST)
        groups.forEach { group ->
            awaitTrue("$LOST votes in $group", PROMOTED_MILLIS, { "${cluster.replica(LOST, group)}" }) {
                replica(group, "role") in setOf("voter", "witness")
            }
            assertNotEquals(replicas[group], replica(group, "replica"), "the incarnation in $group")
        }
        cluster.deployment.process(OTHER).kill()
        awaitTrue("a claim after the second loss", NO_CLAIMS_MILLIS) {
            claim(LOST, FaultCluster.newKey(DOMAIN, "probe-${System.nanoTime()}"), first = true).outcome == "completed"
        }
        assertEquals(before.body, claim(LOST, key, first = false)?.body)
        assertEquals(1, endpoints.runs(sha256Hex(key)))
    }

    private fun replica(group: String, field: String): String? =
        cluster.replica(LOST, group)?.get(field)?.jsonPrimitive?.content

    private fun claim(host: String, key: String, first: Boolean): HttpAnswer? =
        cluster.request(host, key, FaultCluster.claimed(key, first, TIMEOUT_MILLIS))

    private companion object {
        const val DOMAIN = "thies-a"

        /** Holds replicas of its own ledger, of the configuration, and of a neighbour's ledger as witness. */
        const val LOST = "thies-a-1"
        const val OTHER = "thies-a-2"
        const val TIMEOUT_MILLIS = 400L
        const val PROMOTED_MILLIS = 20_000L

        /** The page allows 2 s without claims after the loss of a leader. */
        const val NO_CLAIMS_MILLIS = 2_000L
    }
}

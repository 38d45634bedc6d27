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
    fun `a host with an empty disk becomes a voter again, and the domain then survives the loss of its other host`() {
        // Guards against a replaced replica that counts as a member but stores nothing, or that votes without its old
        // state.
        val endpoints = cluster.start().startEndpoints(DOMAIN)
        val key = FaultCluster.newIdempotencyKey(DOMAIN, "before")
        val before = checkNotNull(claim(WIPED, key, first = true))
        assertEquals("completed", before.outcome)
        val groups = cluster.plan.groups.filter { WIPED in it.voters + it.witnesses }.map { it.name }
        val replicaIds = groups.associateWith { replicaField(it, "replica") }
        cluster.deployment.process(WIPED).kill()
        cluster.deployment.deleteData(WIPED)
        cluster.deployment.startHost(WIPED)
        groups.forEach { group ->
            awaitTrue("$WIPED votes in $group", PROMOTION_MILLIS, { "${cluster.replica(WIPED, group)}" }) {
                replicaField(group, "role") in setOf("voter", "witness")
            }
            assertNotEquals(replicaIds[group], replicaField(group, "replica"), "the incarnation in $group")
        }
        cluster.deployment.process(OTHER).kill()
        awaitTrue("a claim after the second loss", CLAIM_OUTAGE_LIMIT_MILLIS) {
            claim(WIPED, FaultCluster.newIdempotencyKey(DOMAIN, "probe-${System.nanoTime()}"), first = true)
                .outcome == "completed"
        }
        assertEquals(before.body, claim(WIPED, key, first = false)?.body)
        assertEquals(1, endpoints.runCount(sha256Hex(key)))
    }

    private fun replicaField(group: String, field: String): String? =
        cluster.replica(WIPED, group)?.get(field)?.jsonPrimitive?.content

    private fun claim(host: String, key: String, first: Boolean): HttpAnswer? =
        cluster.request(host, key, FaultCluster.nonRepeatableHeaders(key, first, TIMEOUT_MILLIS))

    private companion object {
        const val DOMAIN = "thies-a"

        /**
         * This host has replicas of its own ledger, of the configuration and, as a witness, of another domain's ledger.
         */
        const val WIPED = "thies-a-1"
        const val OTHER = "thies-a-2"
        const val TIMEOUT_MILLIS = 400L
        const val PROMOTION_MILLIS = 20_000L

        /** The requirements allow 2 s without claims after the loss of a leader. */
        const val CLAIM_OUTAGE_LIMIT_MILLIS = 2_000L
    }
}

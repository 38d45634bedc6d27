package org.auburnlever.entry

import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.peer.ServiceLoad
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RoutingGossipTest {
    private val clock = AtomicLong(100_000)

    private fun withHost(test: (TestEntryHost, RoutingGossip) -> Unit) =
        TestEntryHost(FakeLedger(), clock = clock::get).use { host ->
            test(host, RoutingGossip(host.routing, host.forwarder, host.dispatcher, HOME, clock::get))
        }

    /** Guards against use of a leaving endpoint by a host that receives only delayed announcements of it. */
    @Test
    fun `a delayed announcement in gossip is not treated as new`() = withHost { host, gossip ->
        val entry2 = HostName("entry-2")
        val older = listOf(AgedAnnouncement(announcement(9_000, sequence = 1), 0))
        gossip.receive(entry2, sentMillis = 0, older, emptyList())
        clock.addAndGet(3_500)
        assertFalse(host.routing.serves(TAGGING))
        val newer = listOf(AgedAnnouncement(announcement(9_000, sequence = 2), 600))
        gossip.receive(entry2, sentMillis = 1_000, newer, emptyList())
        assertFalse(host.routing.serves(TAGGING), "600 ms old when sent and 2,500 ms in transit")
        gossip.receive(entry2, sentMillis = 3_500, newer, emptyList())
        assertFalse(host.routing.serves(TAGGING), "a later copy does not make an announcement younger")
    }

    @Test
    fun `an announcement to this host ages by its transit time`() = withHost { host, _ ->
        host.routing.receiveAnnouncement(announcement(9_000, sequence = 1).copy(uptimeMillis = 0))
        assertTrue(host.routing.serves(TAGGING))
        clock.addAndGet(5_000)
        host.routing.receiveAnnouncement(announcement(9_000, sequence = 2).copy(uptimeMillis = 1_500))
        assertFalse(host.routing.serves(TAGGING))
        host.routing.receiveAnnouncement(announcement(9_000, sequence = 3).copy(uptimeMillis = 5_000))
        assertTrue(host.routing.serves(TAGGING))
    }

    /** Guards against a restarted entry host whose announcements all seem old. */
    @Test
    fun `gossip from a host whose clock restarted has no transit time`() = withHost { host, gossip ->
        val entry2 = HostName("entry-2")
        gossip.receive(entry2, sentMillis = 90_000, emptyList(), emptyList())
        clock.addAndGet(20_000)
        gossip.receive(entry2, sentMillis = 3_000, listOf(AgedAnnouncement(announcement(9_000), 0)), emptyList())
        assertTrue(host.routing.serves(TAGGING))
    }

    @Test
    fun `announcements of other domains are ignored and a draining host reports no loads`() = withHost { host, gossip ->
        val foreign = announcement(9_001, "foreign").copy(failureDomain = DomainName("other"))
        val endpoints = listOf(AgedAnnouncement(announcement(9_000), 100), AgedAnnouncement(foreign, 0))
        gossip.receive(HostName("entry-2"), null, endpoints, emptyList())
        assertEquals(listOf(100L), gossip.announcements().map { it.ageMillis })
        assertEquals(listOf(ServiceLoad(TAGGING.value, 8, 0)), gossip.loads())
        host.dispatcher.close()
        assertEquals(emptyList(), gossip.loads())
    }
}

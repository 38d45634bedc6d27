package org.auburnlever.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EndpointRegistryTest {
    private fun liveNames(registry: EndpointRegistry, nowMillis: Long) =
        registry.live(SERVICE, nowMillis).map { it.announcement.endpoint.value }

    /** Guards against entry hosts that got the same announcements but know different endpoints. */
    @Test
    fun `merging in any order gives the same result`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val announcements = List(40) {
                agedAnnouncement(
                    name = "minion-${random.nextInt(4)}",
                    sequence = random.nextLong(6),
                    epochMillis = random.nextLong(3),
                    leaving = random.nextInt(4) == 0,
                    ageMillis = random.nextLong(4_000),
                )
            }
            val views = List(5) { EndpointRegistry.EMPTY.merge(announcements.shuffled(random), 10_000).known.toMap() }
            assertEquals(1, views.toSet().size, "seed $seed")
        }
    }

    /** Guards against a delayed announcement that brings a leaving endpoint back. */
    @Test
    fun `an older announcement does not replace a tombstone`() {
        val left = EndpointRegistry.EMPTY.add(agedAnnouncement(sequence = 9, leaving = true), 0)
        assertTrue(liveNames(left.add(agedAnnouncement(sequence = 8), 0), 0).isEmpty())
        assertTrue(liveNames(left.removeOld(30_000).add(agedAnnouncement(sequence = 8), 30_000), 30_000).isEmpty())
        assertEquals(listOf("minion-1"), liveNames(left.add(agedAnnouncement(sequence = 1, epochMillis = 2), 0), 0))
    }

    /** Guards against requests to an endpoint that has left while the entry host was isolated. */
    @Test
    fun `an endpoint is used for less than 3 s after it sent its last announcement`() {
        val direct = EndpointRegistry.EMPTY.add(agedAnnouncement(), 0)
        val gossiped = EndpointRegistry.EMPTY.merge(direct.toGossip(700), 700)
        listOf(direct, gossiped, gossiped.merge(direct.toGossip(2_900), 2_900)).forEach {
            assertEquals(listOf("minion-1"), liveNames(it, 2_999))
            assertTrue(liveNames(it, 3_000).isEmpty())
        }
    }

    @Test
    fun `tombstones are gossiped, and all entries are removed after their retention`() {
        val registry = EndpointRegistry.EMPTY
            .add(agedAnnouncement("gone", leaving = true), 0)
            .add(agedAnnouncement("unresponsive"), 0)
        assertEquals(listOf("gone"), registry.toGossip(5_000).map { it.announcement.endpoint.value })
        assertTrue(registry.removeOld(EndpointRegistry.RETENTION_MILLIS).known.isEmpty())
        val late = agedAnnouncement(ageMillis = EndpointRegistry.RETENTION_MILLIS)
        assertTrue(EndpointRegistry.EMPTY.add(late, 100_000).known.isEmpty())
    }
}

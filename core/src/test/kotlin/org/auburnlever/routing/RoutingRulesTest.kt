package org.auburnlever.routing

import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.EndpointName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.ServiceLoad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RoutingRulesTest {
    private val random = Random(7)

    private fun rules(host: Int = 0, of: Int = 1) = RoutingRules(EntryHostShares(entryHosts(of), entryHosts(of)[host]))

    /** Guards against entry hosts that together exceed the 8 slots of an endpoint, in random interleavings. */
    @Test
    fun `several entry hosts never hold more than 8 requests at one endpoint`() {
        repeat(50) { seed ->
            val draw = Random(seed)
            val count = 1 + draw.nextInt(5)
            val rules = List(count) { rules(it, count) }
            val states = rules.map { it.mergeAnnouncements(RoutingState(), listOf(agedAnnouncement()), 0) }
                .toMutableList()
            val held = List(count) { mutableListOf<SlotGrant>() }
            repeat(100) {
                val host = draw.nextInt(count)
                if (draw.nextInt(3) > 0) {
                    val (state, grant) = rules[host].acquire(states[host], SERVICE, emptySet(), 0, draw)
                    states[host] = state
                    grant?.let { held[host].add(it) }
                } else if (held[host].isNotEmpty()) {
                    val end = if (draw.nextBoolean()) AttemptEnd.Answered(3) else AttemptEnd.PossiblyRunning(100)
                    states[host] = rules[host].release(states[host], held[host].removeLast(), end, 0)
                }
                val occupied = states.sumOf { state -> state.loads.values.sumOf { it.occupiedSlots(0) } }
                assertTrue(occupied <= 8, "seed $seed: $occupied requests")
            }
        }
    }

    /** Guards against releases for a stopped endpoint process that free slots of the restarted one. */
    @Test
    fun `a restarted endpoint begins without load and ignores old releases`() {
        val first = rules().mergeAnnouncements(RoutingState(), listOf(agedAnnouncement()), 0)
        val (taken, grant) = rules().acquire(first, SERVICE, emptySet(), 0, random)
        val restarted = rules().mergeAnnouncements(taken, listOf(agedAnnouncement(epochMillis = 2)), 0)
        val (again, _) = rules().acquire(restarted, SERVICE, emptySet(), 0, random)
        val released = rules().release(again, assertNotNull(grant), AttemptEnd.NotSent, 0)
        assertEquals(1, released.loads.getValue(EndpointName("minion-1")).inFlight)
    }

    @Test
    fun `a retry avoids the endpoint that failed unless it is the only one`() {
        val one = rules().mergeAnnouncements(RoutingState(), listOf(agedAnnouncement("a")), 0)
        val two = rules().mergeAnnouncements(one, listOf(agedAnnouncement("b")), 0)
        val avoided = setOf(EndpointName("a"))
        val retried = List(20) { rules().acquire(two, SERVICE, avoided, 0, Random(it)).result?.endpoint?.value }
        assertEquals(setOf<String?>("b"), retried.toSet())
        assertEquals("a", rules().acquire(one, SERVICE, avoided, 0, random).result?.endpoint?.value)
    }

    @Test
    fun `a queued request is admitted once a slot is free`() {
        val request = QueuedRequest(1, AccountName("a"), 1, urgent = false, deadlineMillis = 1_000)
        val queued = rules().enqueue(RoutingState(), SERVICE, request, 10, 0).state
        assertNull(rules().admitNext(queued, SERVICE, 0, random).result)
        val served = rules().mergeAnnouncements(queued, listOf(agedAnnouncement()), 0)
        val (after, admission) = rules().admitNext(served, SERVICE, 0, random)
        assertEquals(request, admission?.request)
        assertEquals(listOf(ServiceLoad("tagging", freeSlots = 7, queued = 0)), rules().serviceLoads(after, 0))
    }

    @Test
    fun `requests are forwarded to hosts with free slots, in the own region first`() {
        val self = location("self", "luzon", "luzon-a")
        val loads = RemoteLoads.EMPTY
            .record(location("far", "visayas", "cebu-a"), listOf(ServiceLoad("tagging", 50, 0)), 0)
            .record(location("near", "luzon", "luzon-b"), listOf(ServiceLoad("tagging", 1, 0)), 0)
            .record(location("same", "luzon", "luzon-a"), listOf(ServiceLoad("tagging", 9, 0)), 0)
        fun chosenHost(of: RemoteLoads, wait: Boolean = false) =
            of.choose(SERVICE, self, { of.isRecent(it, 0) }, wait, random)?.host?.value
        assertEquals("near", chosenHost(loads))
        val busy = loads.addForwarded(HostName("near"), 1)
        assertEquals("far", chosenHost(busy))
        val none = busy.record(location("far", "visayas", "cebu-a"), listOf(ServiceLoad("tagging", 0, 3)), 0)
        assertNull(chosenHost(none))
        assertEquals("near", chosenHost(none, wait = true))
        assertTrue(!loads.isRecent(HostName("near"), RemoteLoads.EXPIRY_MILLIS))
    }

    private fun location(host: String, region: String, domain: String) =
        HostLocation(HostName(host), RegionName(region), DomainName(domain))
}

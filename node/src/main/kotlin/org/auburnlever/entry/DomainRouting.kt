package org.auburnlever.entry

import kotlinx.serialization.json.JsonElement
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.peer.ServiceLoad
import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.RoutingRules
import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.SlotGrant
import org.auburnlever.routing.Ticket
import org.auburnlever.routing.Transition
import org.auburnlever.wire.EndpointAnnouncement
import org.auburnlever.world.EndpointName
import org.auburnlever.world.ServiceName
import kotlin.random.Random

/** Endpoints, slots and queues of this host's failure domain; [clock] returns monotonic milliseconds. */
class DomainRouting(
    private val rules: RoutingRules,
    private val clock: () -> Long,
    private val random: Random = Random.Default,
) : Dumpable {
    private val state = AtomicState(RoutingState())
    private val ages = AnnouncementAges(clock)
    private val waiters = SlotWaiters(state, rules, clock, random)

    /** The retry budget of this host. */
    internal val retryBudget = SharedRetryBudget(state, clock)

    /** Takes in an announcement that an endpoint has sent to this host. */
    fun receiveAnnouncement(announcement: EndpointAnnouncement) {
        val ageMillis = ages.age(announcement)
        mergeAnnouncements(listOf(AgedAnnouncement(announcement, ageMillis)))
    }

    /** Takes in announcements from other entry hosts of the domain. */
    fun mergeAnnouncements(announcements: List<AgedAnnouncement>) =
        state.update { rules.heard(it, announcements, clock()) }

    /** Announcements to gossip. */
    fun announcements(): List<AgedAnnouncement> = state.current.registry.toGossip(clock())

    /** Load to gossip. */
    fun serviceLoads(): List<ServiceLoad> = rules.serviceLoads(state.current, clock())

    /** Says whether this host can send requests for [service] to an endpoint of its own domain. */
    fun serves(service: ServiceName): Boolean = rules.candidates(state.current, service, clock()).isNotEmpty()

    /** Takes a slot if one is free and nobody waits for it. */
    fun tryAcquire(service: ServiceName, avoided: Set<EndpointName>): SlotGrant? = state.change {
        if (it.queue(service).size > 0) {
            Transition(it, null)
        } else {
            rules.acquire(it, service, avoided, clock(), random)
        }
    }

    /** Waits for a slot in the queue of [service], which holds at most [maxQueue] requests. */
    suspend fun awaitSlot(service: ServiceName, ticket: Ticket, maxQueue: Int): SlotResult =
        waiters.awaitSlot(service, ticket, maxQueue)

    /** Gives a slot back and passes it on to waiting requests. */
    fun release(grant: SlotGrant, end: AttemptEnd) {
        state.update { rules.release(it, grant, end, clock()) }
        waiters.admit(grant.service)
    }

    override fun dump(): JsonElement = dumpRouting(state.current, rules, clock())
}

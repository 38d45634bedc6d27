package org.auburnlever.entry

import kotlinx.serialization.json.JsonElement
import org.auburnlever.model.EndpointName
import org.auburnlever.model.ServiceName
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.peer.ServiceLoad
import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.routing.RoutingRules
import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.SlotGrant
import org.auburnlever.routing.Transition
import org.auburnlever.wire.EndpointAnnouncement
import kotlin.random.Random

/** Manages endpoints, slots and queues of this host's failure domain; [clock] returns monotonic milliseconds. */
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

    /** Adds an announcement that an endpoint sent to this host. */
    fun receiveAnnouncement(announcement: EndpointAnnouncement) {
        val ageMillis = ages.age(announcement)
        mergeAnnouncements(listOf(AgedAnnouncement(announcement, ageMillis)))
    }

    /** Adds announcements that other entry hosts of the domain passed on. */
    fun mergeAnnouncements(announcements: List<AgedAnnouncement>) =
        state.update { rules.mergeAnnouncements(it, announcements, clock()) }

    /** Returns the announcements to gossip. */
    fun announcements(): List<AgedAnnouncement> = state.current.registry.toGossip(clock())

    /** Returns the load of each service to gossip. */
    fun serviceLoads(): List<ServiceLoad> = rules.serviceLoads(state.current, clock())

    /** Returns whether this host can send requests for [service] to an endpoint of its own domain. */
    fun serves(service: ServiceName): Boolean = rules.candidates(state.current, service, clock()).isNotEmpty()

    /** Takes a slot if one is free and no request waits for it; returns null otherwise. */
    fun tryAcquire(service: ServiceName, avoided: Set<EndpointName>): SlotGrant? = state.change {
        if (it.queue(service).size > 0) {
            Transition(it, null)
        } else {
            rules.acquire(it, service, avoided, clock(), random)
        }
    }

    /** Waits for a slot in the queue of [service], which holds at most [maxQueue] requests. */
    suspend fun awaitSlot(service: ServiceName, request: QueuedRequest, maxQueue: Int): SlotResult =
        waiters.awaitSlot(service, request, maxQueue)

    /** Releases a slot and grants free slots to waiting requests. */
    fun release(grant: SlotGrant, end: AttemptEnd) {
        state.update { rules.release(it, grant, end, clock()) }
        waiters.admit(grant.service)
    }

    override fun dump(): JsonElement = dumpRouting(state.current, rules, clock())
}

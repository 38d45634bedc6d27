package org.auburnlever.entry

import org.auburnlever.routing.TransitTimes
import org.auburnlever.wire.EndpointAnnouncement

/** Estimates how long announcements from endpoints were in transit; [clock] returns monotonic milliseconds. */
internal class AnnouncementAges(private val clock: () -> Long) {
    private val transitTimes = AtomicState(TransitTimes.EMPTY)

    /** Returns the age of [announcement] in milliseconds, 0 if it carries no uptime. */
    fun age(announcement: EndpointAnnouncement): Long {
        val uptimeMillis = announcement.uptimeMillis ?: return 0
        val sender = "${announcement.endpoint}/${announcement.epochMillis}"
        val nowMillis = clock()
        return transitTimes.change { it.removeOld(nowMillis).record(sender, uptimeMillis, nowMillis) }
    }
}

package org.auburnlever.entry

import org.auburnlever.routing.TransitTimes
import org.auburnlever.wire.EndpointAnnouncement

/** Ages of announcements that endpoints send to this host: their time on the way, where it can be told. */
internal class AnnouncementAges(private val clock: () -> Long) {
    private val transitTimes = AtomicState(TransitTimes.EMPTY)

    /** Returns the age in milliseconds, 0 for an endpoint that does not tell its uptime. */
    fun age(announcement: EndpointAnnouncement): Long {
        val uptimeMillis = announcement.uptimeMillis ?: return 0
        val sender = "${announcement.endpoint}/${announcement.epochMillis}"
        val nowMillis = clock()
        return transitTimes.change { it.forgetOld(nowMillis).heard(sender, uptimeMillis, nowMillis) }
    }
}

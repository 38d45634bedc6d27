package org.auburnlever.fleet

import org.auburnlever.world.HostName
import java.util.concurrent.atomic.AtomicReference

/** The host that was last named as leader of the workload group. */
internal class LeaderHint {
    private val host = AtomicReference<HostName?>()

    /** The newest hint; it may be out of date. */
    val current: HostName? get() = host.get()

    /** Notes who is said to lead; null changes nothing. */
    fun update(leader: HostName?) {
        if (leader != null) host.set(leader)
    }
}

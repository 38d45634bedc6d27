package org.auburnlever.fleet

import org.auburnlever.model.HostName
import java.util.concurrent.atomic.AtomicReference

/** The host that was last named as leader of the workload group. */
internal class LeaderHint {
    private val host = AtomicReference<HostName?>()

    /** The last named leader, which may be out of date; null if none was named. */
    val current: HostName? get() = host.get()

    /** Stores [leader]; null is ignored. */
    fun update(leader: HostName?) {
        if (leader != null) host.set(leader)
    }
}

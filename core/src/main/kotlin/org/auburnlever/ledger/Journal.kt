@file:UseSerializers(PersistentListSerializer::class)

package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import org.auburnlever.codec.PersistentListSerializer
import org.auburnlever.model.AccountName
import org.auburnlever.model.WorkerName

/** The kinds of recorded decisions. */
@Serializable
enum class DecisionKind {
    @SerialName("queued")
    QUEUED,

    @SerialName("refused")
    REFUSED,

    @SerialName("waits")
    WAITS,

    @SerialName("placed")
    PLACED,

    @SerialName("starting")
    STARTING,

    @SerialName("running")
    RUNNING,

    @SerialName("stopping")
    STOPPING,

    @SerialName("requeued")
    REQUEUED,

    @SerialName("done")
    DONE,

    @SerialName("worker_joined")
    WORKER_JOINED,

    @SerialName("worker_changed")
    WORKER_CHANGED,

    @SerialName("worker_lost")
    WORKER_LOST,

    @SerialName("worker_suspended")
    WORKER_SUSPENDED,

    @SerialName("worker_resumed")
    WORKER_RESUMED,

    @SerialName("start_failed")
    START_FAILED,

    @SerialName("guarantee_at_risk")
    GUARANTEE_AT_RISK,

    @SerialName("guarantee_planned")
    GUARANTEE_PLANNED,
}

/** One recorded decision about a job, account or worker; [forJobId] is the job that preempts [jobId], if any. */
@Serializable
data class JournalEntry(
    val atMillis: Long,
    val index: Long,
    val kind: DecisionKind,
    val jobId: String? = null,
    val account: AccountName? = null,
    val worker: WorkerName? = null,
    val forJobId: String? = null,
    val reason: String,
)

/** The last [CAPACITY] decisions in a ring buffer; [written] counts all entries ever written. */
@Serializable
data class Journal(
    val ring: PersistentList<JournalEntry> = persistentListOf(),
    val written: Long = 0,
) {
    internal fun add(entry: JournalEntry): Journal {
        val slot = (written % CAPACITY).toInt()
        val next = if (slot < ring.size) ring.set(slot, entry) else ring.add(entry)
        return Journal(next, written + 1)
    }

    /** Returns the entries, oldest first. */
    fun entries(): List<JournalEntry> {
        val first = if (ring.size < CAPACITY) 0 else (written % CAPACITY).toInt()
        return ring.subList(first, ring.size) + ring.subList(0, first)
    }

    companion object {
        /** About 400 KB of state in the largest deployment. */
        const val CAPACITY = 2_000
    }
}

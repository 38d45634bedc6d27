@file:UseSerializers(PersistentMapSerializer::class, PersistentSetSerializer::class)

package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.codec.PersistentSetSerializer
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.WorkerName

/**
 * The replicated state of one failure domain's ledger.
 *
 * All maps iterate in insertion order, also after a snapshot, so every replica takes the same decisions.
 * [timeMillis] is the largest time seen in a command and never goes back.
 */
@Serializable
data class LedgerState(
    val domain: DomainName,
    val timeMillis: Long = 0,
    val lastIndex: Long = 0,
    val policy: LedgerPolicy = LedgerPolicy(),
    val claims: ClaimTable = ClaimTable(),
    val jobs: JobTable = JobTable(),
    val workers: PersistentMap<WorkerName, WorkerRecord> = persistentMapOf(),
    val guarantees: GuaranteePlan = GuaranteePlan(),
    val accounts: PersistentMap<AccountName, AccountRecord> = persistentMapOf(),
    val deadlines: TimerQueue = TimerQueue(DEADLINE_WIDTH_MILLIS),
    val retention: TimerQueue = TimerQueue(RETENTION_WIDTH_MILLIS),
    val journal: Journal = Journal(),
) {
    /** The job with [jobId], or null. */
    fun job(jobId: String): JobRecord? = jobs.all[jobId]

    internal companion object {
        /** Bucket width of [deadlines]; they take effect late by at most this much. */
        const val DEADLINE_WIDTH_MILLIS = 250L

        /** Bucket width of [retention]; coarse, so that 25 h of retained keys make only 1,500 buckets. */
        const val RETENTION_WIDTH_MILLIS = 60_000L
    }
}

/** The part of the bundle that `apply` needs; it comes through the log, so that replicas agree on it at each index. */
@Serializable
data class LedgerPolicy(
    val bundleVersion: Long = 0,
    val quotas: Map<AccountName, Int> = emptyMap(),
    val services: Set<ServiceName> = emptySet(),
    val maxStoredAnswerBytes: Int = DEFAULT_STORED_ANSWER_BYTES,
) {
    /** Accelerators that [account] may hold in this failure domain at once. */
    fun quota(account: AccountName): Int = quotas[account] ?: Int.MAX_VALUE

    internal companion object {
        const val DEFAULT_STORED_ANSWER_BYTES = 65_536
    }
}

/** Figures of one account; [estimateFactor] is a moving average of observed over estimated run time. */
@Serializable
data class AccountRecord(val heldAccelerators: Int = 0, val estimateFactor: Double = 1.0)

/**
 * The jobs of a ledger, with indexes that make the cost of a command independent of the number of jobs.
 *
 * [payloadChars] counts the payloads of jobs that have not ended, [resultBytes] the results of those that have.
 */
@Serializable
data class JobTable(
    val all: PersistentMap<String, JobRecord> = persistentMapOf(),
    val queued: PersistentSet<String> = persistentSetOf(),
    val active: PersistentSet<String> = persistentSetOf(),
    val done: PersistentMap<String, Long> = persistentMapOf(),
    val keys: PersistentMap<RequestKey, JobKeyRecord> = persistentMapOf(),
    val resultBytes: Long = 0,
    val payloadChars: Long = 0,
)

/** Ties a caller's key to its job, also after the job's record was removed. */
@Serializable
data class JobKeyRecord(val jobId: String, val bodySha256Hex: String)

/** The result of applying one command. */
data class ApplyResult(val state: LedgerState, val reply: LedgerReply, val events: List<LedgerEvent>)

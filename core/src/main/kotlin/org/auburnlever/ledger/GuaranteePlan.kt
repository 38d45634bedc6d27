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
import org.auburnlever.model.Shape

/**
 * The placements at which the guaranteed shapes of this failure domain are claimed or can be claimed.
 *
 * The placements of [entries] are disjoint. [stale] asks the leader for a new plan after workers or claims changed;
 * [atRisk] holds the guarantees for which the last plan found no placement.
 */
@Serializable
data class GuaranteePlan(
    val bundleVersion: Long = 0,
    val entries: PersistentMap<GuaranteeId, GuaranteeRecord> = persistentMapOf(),
    val stale: Boolean = false,
    val atRisk: PersistentSet<GuaranteeId> = persistentSetOf(),
)

/** A guaranteed shape; [placement] is the claiming job's placement while [claimedBy] is set, else the planned one. */
@Serializable
data class GuaranteeRecord(val shape: Shape, val placement: GangPlacement?, val claimedBy: String? = null)

/** True when [job] runs under a guarantee that is still in the bundle; such a job is never preempted. */
internal fun LedgerState.isGuaranteed(job: JobRecord): Boolean =
    job.guarantee != null && guarantees.entries[job.guarantee]?.claimedBy == job.jobId

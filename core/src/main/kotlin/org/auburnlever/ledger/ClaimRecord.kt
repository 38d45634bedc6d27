@file:UseSerializers(PersistentMapSerializer::class)

package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.model.HostName
import org.auburnlever.wire.Outcome

/** The exclusive right to run the request or job of one key; [outcome] is null while it is in progress. */
@Serializable
data class ClaimRecord(
    val bodySha256Hex: String,
    val purpose: ClaimPurpose,
    val claimId: String,
    val entryHost: HostName,
    val attempt: Int,
    val deadlineMillis: Long,
    val issuedMillis: Long,
    val outcome: Outcome? = null,
    val timedOut: Boolean = false,
)

/** All claims; [storedAnswers] holds the body size of each stored answer, the oldest first. */
@Serializable
data class ClaimTable(
    val all: PersistentMap<RequestKey, ClaimRecord> = persistentMapOf(),
    val storedAnswers: PersistentMap<RequestKey, Int> = persistentMapOf(),
    val storedBytes: Long = 0,
)

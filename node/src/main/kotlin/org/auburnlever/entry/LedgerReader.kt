package org.auburnlever.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonElement
import org.auburnlever.codec.Codec
import org.auburnlever.host.LedgerClient
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.world.DomainName

/** Asks the ledgers of several failure domains the same question at the same time. */
class LedgerReader(private val ledgers: LedgerClient, private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS) {
    /** What one ledger answered; [error] says why there is no [document]. */
    data class Reading(val failureDomain: DomainName, val document: JsonElement?, val error: String?)

    /** Returns one reading for each of [domains], in their order; a ledger without an answer does not delay others. */
    suspend fun read(domains: List<DomainName>, query: LedgerQuery): List<Reading> = coroutineScope {
        domains.map { domain -> async { read(domain, query) } }.awaitAll()
    }

    private suspend fun read(domain: DomainName, query: LedgerQuery): Reading =
        ledgers.read(domain, query, timeoutMillis).fold(
            { json -> Reading(domain, Codec.json.parseToJsonElement(json), error = null) },
            { Reading(domain, document = null, error = it.message) },
        )

    private companion object {
        /** Longer than an election (at most 2 s), so that a reading is still complete after the loss of a leader. */
        const val DEFAULT_TIMEOUT_MILLIS = 2_500L
    }
}

package org.auburnlever.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonElement
import org.auburnlever.codec.Codec
import org.auburnlever.host.LedgerClient
import org.auburnlever.model.DomainName
import org.auburnlever.peer.LedgerQuery

/** Sends a query to the ledgers of several failure domains concurrently. */
class LedgerReader(private val ledgers: LedgerClient, private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS) {
    /** The document that one ledger returned, or the [error] that prevented it. */
    data class Reading(val failureDomain: DomainName, val document: JsonElement?, val error: String?)

    /** Returns one reading for each of [domains], in their order; a ledger that does not reply delays no other one. */
    suspend fun read(domains: List<DomainName>, query: LedgerQuery): List<Reading> = coroutineScope {
        domains.map { domain -> async { read(domain, query) } }.awaitAll()
    }

    private suspend fun read(domain: DomainName, query: LedgerQuery): Reading =
        ledgers.read(domain, query, timeoutMillis).fold(
            { json -> Reading(domain, Codec.json.parseToJsonElement(json), error = null) },
            { Reading(domain, document = null, error = it.message) },
        )

    private companion object {
        /** Longer than an election (at most 2 s), so that a read succeeds despite the loss of a leader. */
        const val DEFAULT_TIMEOUT_MILLIS = 2_500L
    }
}

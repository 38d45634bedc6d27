package org.auburnlever.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.auburnlever.world.DomainName
import org.auburnlever.world.HostName
import org.auburnlever.world.RegionName

/**
 * Answer of `GET /v1/status`: the system as one host sees it.
 *
 * [bundleVersion] is 0 and [bundleDigestHex] absent before the first bundle.
 */
@Serializable
data class StatusView(
    val host: HostName,
    val region: RegionName,
    val failureDomain: DomainName,
    val bundleVersion: Long,
    val bundleDigestHex: String? = null,
    val hosts: List<HostStatus>,
    val groups: List<GroupStatus>,
    val failureDomains: List<DomainStatus>,
)

/** One host; [bundleVersion] is what it last reported, absent when it never did. */
@Serializable
data class HostStatus(
    val host: HostName,
    val region: RegionName,
    val failureDomain: DomainName,
    val reachable: Boolean,
    val bundleVersion: Long? = null,
)

/** One replicated group; [leader] is absent when the answering host knows none. */
@Serializable
data class GroupStatus(val group: String, val leader: HostName? = null, val term: Long? = null)

/**
 * One failure domain. [ledger] is the summary that its ledger's leader gave; when there is none, [ledgerError] says
 * why. Accelerators are absent when no capacity was reported.
 */
@Serializable
data class DomainStatus(
    val failureDomain: DomainName,
    val region: RegionName,
    val hostsTotal: Int,
    val hostsReachable: Int,
    val acceleratorsTotal: Int? = null,
    val acceleratorsFree: Int? = null,
    val ledger: JsonElement? = null,
    val ledgerError: String? = null,
)

/** Answer of `GET /v1/explain/{kind}/{name}`: the decisions that each failure domain's ledger recorded. */
@Serializable
data class ExplainView(val kind: String, val name: String, val failureDomains: List<DomainExplanation>)

/** Decisions of one ledger; [error] says why there is no [document]. */
@Serializable
data class DomainExplanation(
    val failureDomain: DomainName,
    val document: JsonElement? = null,
    val error: String? = null,
)

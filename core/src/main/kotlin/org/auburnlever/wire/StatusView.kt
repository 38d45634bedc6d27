package org.auburnlever.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName

/**
 * Answer of `GET /v1/status`: the state of the deployment as seen by one host.
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

/** Status of one host; [bundleVersion] is the last one that it reported, absent if it never reported one. */
@Serializable
data class HostStatus(
    val host: HostName,
    val region: RegionName,
    val failureDomain: DomainName,
    val reachable: Boolean,
    val bundleVersion: Long? = null,
)

/** Status of one replicated group; [leader] is absent if the answering host knows none. */
@Serializable
data class GroupStatus(val group: String, val leader: HostName? = null, val term: Long? = null)

/**
 * Status of one failure domain. [ledger] is the summary from the leader of its ledger; if there is none, [ledgerError]
 * says why. The accelerator counts are absent if no capacity was reported.
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

/** Decisions of one failure domain's ledger; if there is no [document], [error] says why. */
@Serializable
data class DomainExplanation(
    val failureDomain: DomainName,
    val document: JsonElement? = null,
    val error: String? = null,
)

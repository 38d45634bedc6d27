package org.auburnlever.ctl

import org.auburnlever.wire.Paths
import org.auburnlever.wire.StatusView

/** Shows hosts, groups and failure domains as one host sees them. */
class StatusCommand(selection: Selection) :
    ReadCommand("status", "Show hosts, groups and failure domains as one host sees them", selection) {
    override val path: String get() = Paths.STATUS

    override fun show(console: Console, json: String) {
        val status = answerJson.decodeFromString(StatusView.serializer(), json)
        val digest = status.bundleDigestHex?.let { " ($it)" }.orEmpty()
        console.out.println("host ${status.host} in ${status.failureDomain}, ${status.region}")
        console.out.println("bundle version ${status.bundleVersion}$digest")
        listOf(hosts(status), groups(status), domains(status)).forEach { table ->
            console.out.println()
            table.forEach { console.out.println(it) }
        }
    }

    private fun hosts(status: StatusView): List<String> = tableLines(
        listOf("HOST", "FAILURE DOMAIN", "REACHABLE", "BUNDLE"),
        status.hosts.map { listOf(it.host, it.failureDomain, if (it.reachable) "yes" else "no", it.bundleVersion) },
    )

    private fun groups(status: StatusView): List<String> =
        tableLines(listOf("GROUP", "LEADER", "TERM"), status.groups.map { listOf(it.group, it.leader, it.term) })

    private fun domains(status: StatusView): List<String> = tableLines(
        listOf("FAILURE DOMAIN", "REGION", "HOSTS", "ACCELERATORS FREE", "LEDGER"),
        status.failureDomains.map {
            listOf(
                it.failureDomain,
                it.region,
                "${it.hostsReachable}/${it.hostsTotal}",
                it.acceleratorsTotal?.let { total -> "${it.acceleratorsFree ?: 0}/$total" },
                it.ledgerError ?: it.ledger?.let { summary -> summarizeLedger(summary) },
            )
        },
    )
}

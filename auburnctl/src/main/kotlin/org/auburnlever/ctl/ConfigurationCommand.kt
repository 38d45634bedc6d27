package org.auburnlever.ctl

import org.auburnlever.wire.ConfigurationView
import org.auburnlever.wire.Paths

/** Shows the bundle in force. */
class ConfigurationCommand(selection: Selection) :
    ReadCommand("configuration", "Show the bundle in force on one host", selection) {
    override val path: String get() = Paths.CONFIGURATION

    override fun show(console: Console, json: String) {
        val view = answerJson.decodeFromString(ConfigurationView.serializer(), json)
        console.out.println("version: ${view.version}")
        console.out.println("digest: ${view.digestHex}")
        console.out.println("failure domains: ${view.bundle.failureDomains.joinToString { it.name.value }}")
        console.out.println("operators: ${view.bundle.operators.joinToString { it.name.value }}")
        console.out.println("signatures required: ${view.bundle.signOffThreshold}")
        val header = listOf("ACCOUNT", "SHARE", "QUOTA", "GUARANTEES")
        val rows = view.bundle.accounts.map { listOf(it.name, it.share, it.quotaAccelerators, it.guarantees.size) }
        tableLines(header, rows).forEach { console.out.println(it) }
    }
}

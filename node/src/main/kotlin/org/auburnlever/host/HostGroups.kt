package org.auburnlever.host

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.ledger.LedgerEvent
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.observe.Dumpable
import org.auburnlever.peer.GroupName
import org.auburnlever.settings.CONFIGURATION_GROUP
import org.auburnlever.settings.GroupSettings
import org.auburnlever.settings.LEDGER_GROUP_PREFIX
import org.auburnlever.settings.Settings
import org.auburnlever.storage.LogStore
import org.auburnlever.storage.OpenedLog
import java.nio.file.Path

/** Opens, runs and stops the replicas that the host of [settings] keeps on its disk. */
internal class HostGroups(
    private val settings: Settings,
    private val groupContext: GroupContext,
    private val clock: HostClock,
    private val activeBundle: ActiveBundle,
    private val onLedgerEvents: (List<LedgerEvent>) -> Unit,
) : Dumpable {
    /** This host's replica of the configuration group; null if it has none. */
    var configuration: ConfigurationGroup? = null
        private set

    /** This host's replicas of ledgers by group. */
    var ledgers: Map<GroupName, LedgerGroup> = emptyMap()
        private set

    /** All replicas of this host. */
    val runners: List<GroupRunner<*, *>> get() = listOfNotNull(configuration?.runner) + ledgers.values.map { it.runner }

    /** Opens the logs of all replicas and starts them. */
    fun start(): Result<Unit, String> {
        val opened = settings.ownGroups().associateWith { open(it) }
        val failure = opened.values.firstNotNullOfOrNull { it.getError() }
        if (failure != null) return Err(failure)
        opened.forEach { (group, log) -> log.onSuccess { create(group, it) } }
        runners.forEach { it.start() }
        return Ok(Unit)
    }

    /** Stops all replicas. */
    fun stop() = runners.forEach { it.stop() }

    /** Transfers the leadership of each group led by this host to another voter, which saves an election timeout. */
    fun transferLeadership() = runners.forEach { runner ->
        val view = runner.view
        val successor = view.membership.roles.entries.firstOrNull { (replica, role) ->
            role == ReplicaRole.VOTER && replica != view.replica
        }
        if (view.isLeader && successor != null) runner.enqueue(ReplicaInput.TransferLeadership(successor.key))
    }

    override fun dump(): JsonElement = buildJsonObject {
        runners.forEach { put(it.group.value, it.view.dump()) }
    }

    private fun open(group: GroupSettings): Result<OpenedLog, String> =
        LogStore.open(settings.groupFolder(group.name), settings.self.host).mapError { it.message }

    private fun create(group: GroupSettings, log: OpenedLog) {
        if (group.name.value == CONFIGURATION_GROUP) {
            val stateMachine = ConfigurationStateMachine(settings.genesisOperators, settings.genesisThreshold)
            val runner = GroupRunner(group.name, log, group.initialMembership(), stateMachine, groupContext, clock)
            configuration = ConfigurationGroup(runner, activeBundle, clock)
        } else {
            val domain = DomainName(group.name.value.removePrefix(LEDGER_GROUP_PREFIX))
            val stateMachine = LedgerStateMachine(domain, onLedgerEvents)
            val runner = GroupRunner(group.name, log, group.initialMembership(), stateMachine, groupContext, clock)
            val inForce = { activeBundle.bundle }
            ledgers = ledgers + (group.name to LedgerGroup(domain, runner, inForce, clock))
        }
    }
}

/** Formats the logs of all replicas for a host's first start; a folder that already holds a replica is an error. */
fun formatHost(settings: Settings): Result<Unit, String> {
    val errors = settings.ownGroups().mapNotNull { group ->
        LogStore.format(settings.groupFolder(group.name), settings.self.host).getError()?.message
    }
    return if (errors.isEmpty()) Ok(Unit) else Err(errors.joinToString("\n"))
}

/** Returns the groups of which this host keeps a replica. */
internal fun Settings.ownGroups(): List<GroupSettings> = groups.filter { self.host in it.replicas() }

internal fun GroupSettings.replicas(): List<HostName> = voters + witnesses

internal fun Settings.groupFolder(group: GroupName): Path =
    checkNotNull(dataFolder) { "a host with replicas needs a data folder" }
        .resolve("groups")
        .resolve(group.value.replace('/', '-'))

/** Returns the membership of a new group: all replicas have their first incarnation. */
private fun GroupSettings.initialMembership() = Membership(
    voters.associate { ReplicaId(it, FIRST_INCARNATION) to ReplicaRole.VOTER } +
        witnesses.associate { ReplicaId(it, FIRST_INCARNATION) to ReplicaRole.WITNESS },
)

private const val FIRST_INCARNATION = 1L

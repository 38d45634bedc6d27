package org.auburnlever.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.model.HostName
import org.auburnlever.storage.LogStore
import org.auburnlever.storage.OpenedLog
import org.auburnlever.storage.StorageError
import org.auburnlever.storage.SystemDisk
import org.auburnlever.storage.createAtomically
import java.nio.file.Files
import java.nio.file.Path

private const val INITIAL_MEMBERS_FILE = "founders"
private const val FIRST_INCARNATION = 1L

/**
 * Stores in [folder] the hosts that were the initial members of the group.
 *
 * They must not be read from the settings at each start: these may name other hosts later, and with two different
 * memberships for the same empty log, two leaders could be elected.
 */
internal class InitialMembersFile(private val folder: Path) {
    private val file = folder.resolve(INITIAL_MEMBERS_FILE)

    /**
     * Opens the replica of [host]. On the [firstStart] of a deployment, a seed host formats its empty folder and is an
     * initial voter. Any other host without a log gets a new identity without a vote and has to be admitted.
     */
    fun openReplica(
        host: HostName,
        seedHosts: List<HostName>,
        firstStart: Boolean,
    ): Result<Pair<OpenedLog, Membership>, StorageError> {
        Files.createDirectories(folder)
        val bootstraps = firstStart && host in seedHosts && !Files.exists(file) && isEmpty()
        if (bootstraps) SystemDisk.createAtomically(file, seedHosts.joinToString("\n") { it.value }.encodeToByteArray())
        val opened = if (bootstraps) {
            LogStore.format(folder, host).flatMap { LogStore.open(folder, host) }
        } else {
            LogStore.open(folder, host)
        }
        return opened.map { it to initialMembership() }
    }

    private fun isEmpty(): Boolean = Files.list(folder).use { it.findAny().isEmpty }

    private fun initialMembership(): Membership {
        val names = if (Files.exists(file)) Files.readAllLines(file) else emptyList()
        return Membership(names.associate { ReplicaId(HostName(it), FIRST_INCARNATION) to ReplicaRole.VOTER })
    }
}

package org.auburnlever.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.storage.LogStore
import org.auburnlever.storage.OpenedLog
import org.auburnlever.storage.StorageError
import org.auburnlever.storage.SystemDisk
import org.auburnlever.storage.createAtomically
import org.auburnlever.world.HostName
import java.nio.file.Files
import java.nio.file.Path

private const val FOUNDER_FILE = "founders"
private const val FIRST_INCARNATION = 1L

/**
 * Remembers in [folder] with which hosts the group was founded. The settings may name other hosts at a later start, and
 * two memberships of the same empty log could elect two leaders.
 */
internal class FounderFile(private val folder: Path) {
    private val file = folder.resolve(FOUNDER_FILE)

    /**
     * Opens the replica of [host]. On the [firstStart] of a deployment a founder formats its folder; any other host
     * without a log gets an identity without a vote, and has to be admitted.
     */
    fun openReplica(
        host: HostName,
        founders: List<HostName>,
        firstStart: Boolean,
    ): Result<Pair<OpenedLog, Membership>, StorageError> {
        Files.createDirectories(folder)
        val founds = firstStart && host in founders && !Files.exists(file) && isEmpty()
        if (founds) SystemDisk.createAtomically(file, founders.joinToString("\n") { it.value }.encodeToByteArray())
        val opened = if (founds) {
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

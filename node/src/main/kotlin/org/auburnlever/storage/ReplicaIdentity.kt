package org.auburnlever.storage

import kotlinx.serialization.Serializable
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.model.HostName
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

private const val FORMAT_VERSION = 1
private const val FIRST_INCARNATION = 1L
private const val IDENTITY_FILE = "identity"

// A group replaces a replica's incarnation only by a larger one, so incarnations grow with time; the random part
// distinguishes two folders created in the same millisecond.
private const val RANDOM_VALUES = 1_024L

/** Content of the identity file: the replica that a folder holds. */
@Serializable
internal data class ReplicaIdentity(val formatVersion: Int, val host: HostName, val incarnation: Long) {
    val replica: ReplicaId get() = ReplicaId(host, incarnation)

    companion object {
        fun first(host: HostName) = ReplicaIdentity(FORMAT_VERSION, host, FIRST_INCARNATION)

        fun afterLostDisk(host: HostName, incarnation: Long) = ReplicaIdentity(FORMAT_VERSION, host, incarnation)
    }
}

/** Returns an incarnation above 1 that is larger than those created in earlier milliseconds; partly random. */
internal fun newIncarnation(): Long = System.currentTimeMillis() * RANDOM_VALUES + Random.nextLong(RANDOM_VALUES)

/**
 * Reads the identity in [folder], or null if it has none.
 *
 * Throws [StorageException] if it is damaged, has an unknown format version or belongs to another host than [host].
 */
internal fun readIdentity(folder: Path, host: HostName): ReplicaIdentity? {
    val file = folder.resolve(IDENTITY_FILE)
    if (!Files.exists(file)) return null
    val identity = decodeRecord<ReplicaIdentity>(file, readFrames(file, Files.readAllBytes(file), mayBeTorn = false))
    val error = when {
        identity.formatVersion != FORMAT_VERSION -> StorageError.UnknownFormat(file, identity.formatVersion)
        identity.host != host -> StorageError.WrongHost(folder, identity.host.value, host.value)
        else -> null
    }
    return if (error == null) identity else throw StorageException(error)
}

internal fun Disk.writeIdentity(folder: Path, identity: ReplicaIdentity) =
    createAtomically(folder.resolve(IDENTITY_FILE), encodeRecord(identity))

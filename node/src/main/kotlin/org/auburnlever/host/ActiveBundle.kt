package org.auburnlever.host

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.digestHex
import org.auburnlever.observe.Dumpable
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

private val logger = KotlinLogging.logger {}

/**
 * Holds the bundle in force on this host.
 *
 * The version never decreases, not even across a restart: on a host with a data folder, a bundle is written and synced
 * to [file] before it takes effect. [file] is null on hosts without a data folder.
 */
internal class ActiveBundle(private val file: Path?) : Dumpable {
    private class Active(val bundle: Bundle, val digestHex: String)

    @Volatile
    private var active: Active? = file?.takeIf { Files.exists(it) }?.let { read(it) }

    /** The bundle in force; null before the first one. */
    val bundle: Bundle? get() = active?.bundle

    /** Version of the bundle in force; 0 before the first one. */
    val version: Long get() = active?.bundle?.version ?: 0

    /** Digest of the bundle in force; null before the first one. */
    val digestHex: String? get() = active?.digestHex

    /**
     * Stores [bundle] and puts it in force, unless the version in force is the same or newer. Throws `IOException` if
     * the bundle can't be stored.
     */
    @Synchronized
    fun activate(bundle: Bundle) {
        if (bundle.version <= version) return
        file?.let { store(it, bundle) }
        active = Active(bundle, bundle.digestHex())
        logger.info { "bundle version ${bundle.version} is in force" }
    }

    override fun dump(): JsonElement = buildJsonObject {
        put("version", version)
        put("digestHex", digestHex)
    }

    private fun read(file: Path): Active {
        val bundle = Codec.json.decodeFromString(Bundle.serializer(), Files.readString(file))
        return Active(bundle, bundle.digestHex())
    }

    private fun store(file: Path, bundle: Bundle) {
        val temporary = file.resolveSibling("${file.fileName}.new")
        Files.writeString(temporary, Codec.json.encodeToString(Bundle.serializer(), bundle))
        sync(temporary, StandardOpenOption.WRITE)
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE)
        sync(file.toAbsolutePath().parent, StandardOpenOption.READ)
    }

    private fun sync(path: Path, option: StandardOpenOption) = FileChannel.open(path, option).use { it.force(true) }
}

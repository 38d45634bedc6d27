package org.auburnlever.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** Opens files for appending; tests replace it to make writes fail. */
fun interface Disk {
    /** Opens [file], which is created if it does not exist. */
    fun open(file: Path): AppendFile
}

/** A file that is only appended to. */
interface AppendFile : AutoCloseable {
    val sizeBytes: Long

    /** Writes all of [bytes]. */
    fun append(bytes: ByteArray)

    /** Returns once everything appended is on the disk. */
    fun sync()
}

/** Opens files of the operating system. */
object SystemDisk : Disk {
    override fun open(file: Path): AppendFile = SystemFile(
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND),
    )
}

private class SystemFile(private val channel: FileChannel) : AppendFile {
    override val sizeBytes: Long get() = channel.size()

    override fun append(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) channel.write(buffer)
    }

    override fun sync() = channel.force(false)

    override fun close() = channel.close()
}

/** Syncs [folder], which makes the creation, renaming and removal of files in it durable. */
internal fun syncFolder(folder: Path) = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

/**
 * Creates [file] with the bytes of all [parts] and syncs it.
 *
 * After a crash the file is complete or as it was before: the bytes go to a temporary file, which is then renamed.
 */
internal fun Disk.createAtomically(file: Path, vararg parts: ByteArray) {
    val temporary = file.resolveSibling("${file.fileName}$TEMPORARY_SUFFIX")
    Files.deleteIfExists(temporary)
    open(temporary).use { output ->
        parts.forEach(output::append)
        output.sync()
    }
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    syncFolder(file.parent)
}

/** Suffix of files that are being written; one left by a crash is incomplete. */
internal const val TEMPORARY_SUFFIX = ".tmp"

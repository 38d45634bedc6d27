package org.auburnlever.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** Opens files for writing at their end; tests replace it to make writes fail. */
fun interface Disk {
    /** Opens [file], which is created if it does not exist. */
    fun open(file: Path): AppendFile
}

/** A file that is written at its end. */
interface AppendFile : AutoCloseable {
    val sizeBytes: Long

    /** Writes all of [bytes]. */
    fun append(bytes: ByteArray)

    /** Returns once everything written is on the disk. */
    fun sync()
}

/** The files of the operating system. */
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

/** Makes created, renamed and removed files of [folder] durable. */
internal fun syncFolder(folder: Path) = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

/** Creates [file] with the bytes of all [parts] so that after a crash it is either complete or absent. */
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

/** Ending of files that were not complete when the process stopped. */
internal const val TEMPORARY_SUFFIX = ".tmp"

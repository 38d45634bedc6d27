package org.auburnlever.storage

import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

private const val LOCK_FILE = "lock"

/** Keeps other processes from using a folder until it is closed. */
internal class FolderLock private constructor(private val channel: FileChannel) : AutoCloseable {
    override fun close() = channel.close()

    companion object {
        /** Locks [folder], which is created if it does not exist. */
        fun acquire(folder: Path): FolderLock {
            Files.createDirectories(folder)
            folder.toAbsolutePath().parent?.let { syncFolder(it) }
            val file = folder.resolve(LOCK_FILE)
            val channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
            if (!channel.tryAcquire()) {
                channel.close()
                throw StorageException(StorageError.FolderLocked(folder))
            }
            return FolderLock(channel)
        }

        // The exception reports a lock of this process, null one of another process.
        private fun FileChannel.tryAcquire(): Boolean = try {
            tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    }
}

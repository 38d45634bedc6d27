package org.auburnlever.storage

import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

private const val LOCK_FILE = "lock"

/** Exclusive lock on a folder, held until closed; keeps other processes from using the folder. */
internal class FolderLock private constructor(private val channel: FileChannel) : AutoCloseable {
    override fun close() = channel.close()

    companion object {
        /** Locks [folder], which is created if it does not exist; throws [StorageException] if it is locked already. */
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

        // tryLock throws if this process holds the lock and returns null if another process does.
        private fun FileChannel.tryAcquire(): Boolean = try {
            tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    }
}

package org.auburnlever.storage

import java.nio.file.Path

/** Why a folder can't be formatted, opened or written. The host must stop: it can't keep its guarantees. */
sealed interface StorageError {
    val message: String

    /** Another process, or another part of this one, uses [folder]. */
    data class FolderLocked(val folder: Path) : StorageError {
        override val message: String get() = "$folder is in use by another process"
    }

    /** [folder] already holds a replica. */
    data class AlreadyFormatted(val folder: Path) : StorageError {
        override val message: String get() = "$folder already holds a replica"
    }

    /** [folder] belongs to another host. */
    data class WrongHost(val folder: Path, val found: String, val expected: String) : StorageError {
        override val message: String get() = "$folder belongs to host $found, not to $expected"
    }

    /** [file] was written in a format that this version doesn't know. */
    data class UnknownFormat(val file: Path, val formatVersion: Int) : StorageError {
        override val message: String get() = "$file has the unknown format version $formatVersion"
    }

    /** [file] is damaged at [offsetBytes]. */
    data class Corrupt(val file: Path, val offsetBytes: Long, val reason: String) : StorageError {
        override val message: String get() = "$file is damaged at offset $offsetBytes: $reason"
    }

    /** The disk of [path] has no space left. */
    data class DiskFull(val path: Path) : StorageError {
        override val message: String get() = "the disk of $path is full"
    }

    /** Reading, writing or syncing below [path] failed; [cause] is the system's message. */
    data class AccessFailed(val path: Path, val cause: String) : StorageError {
        override val message: String get() = "access to $path failed: $cause"
    }

    /** An earlier write failed with [first], so the state of the files is not known. */
    data class Unusable(val first: StorageError) : StorageError {
        override val message: String get() = "not written after an earlier failure: ${first.message}"
    }
}

package org.auburnlever.storage

import java.nio.file.Path

/** Reason why a folder can't be formatted, opened or written. The host must stop: it can't keep its guarantees. */
sealed interface StorageError {
    val message: String

    /** Another process, or another store of this process, has locked [folder]. */
    data class FolderLocked(val folder: Path) : StorageError {
        override val message: String get() = "$folder is in use by another process"
    }

    /** [folder] already holds a replica, so it must not be formatted. */
    data class AlreadyFormatted(val folder: Path) : StorageError {
        override val message: String get() = "$folder already holds a replica"
    }

    /** [folder] belongs to another host. */
    data class WrongHost(val folder: Path, val found: String, val expected: String) : StorageError {
        override val message: String get() = "$folder belongs to host $found, not to $expected"
    }

    /** [file] has a format version that this version of the program can't read. */
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

    /** An I/O operation in [path] failed; [cause] is the exception's type and message. */
    data class AccessFailed(val path: Path, val cause: String) : StorageError {
        override val message: String get() = "access to $path failed: $cause"
    }

    /** An earlier write failed with [first], so the content of the files is unknown and nothing more is written. */
    data class Unusable(val first: StorageError) : StorageError {
        override val message: String get() = "not written after an earlier failure: ${first.message}"
    }
}

package org.auburnlever.storage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Path

// The operating system reports a full disk or an exceeded quota only by these texts.
private val NO_SPACE_TEXTS = listOf("No space left", "quota exceeded")

/** Wraps an [error] inside this package; the public functions return it as a value. */
internal class StorageException(val error: StorageError) : IOException(error.message)

/** Runs [block] and returns an [IOException] from it as a [StorageError] that names [path]. */
internal inline fun <T> catchStorageErrors(path: Path, block: () -> T): Result<T, StorageError> = try {
    Ok(block())
} catch (failure: IOException) {
    Err(failure.toStorageError(path))
}

internal fun IOException.toStorageError(path: Path): StorageError = when {
    this is StorageException -> error
    NO_SPACE_TEXTS.any { message.orEmpty().contains(it) } -> StorageError.DiskFull(path)
    else -> StorageError.AccessFailed(path, "${this::class.simpleName}: $message")
}

internal fun corrupt(file: Path, offsetBytes: Long, reason: String): StorageException =
    StorageException(StorageError.Corrupt(file, offsetBytes, reason))

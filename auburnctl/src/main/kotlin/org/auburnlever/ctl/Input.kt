package org.auburnlever.ctl

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads the file at [path] as text. */
internal fun readText(path: String): String = readBytes(path).decodeToString()

/** Reads the file at [path]. */
internal fun readBytes(path: String): ByteArray =
    try {
        Files.readAllBytes(Path.of(path))
    } catch (e: IOException) {
        throw InputException("can't read $path: ${e.javaClass.simpleName}: ${e.message}").apply { initCause(e) }
    }

/** Reads the file at [path] as JSON with comments. */
internal fun <T> readJson(path: String, serializer: KSerializer<T>): T =
    try {
        Codec.commentedJson.decodeFromString(serializer, readText(path))
    } catch (e: SerializationException) {
        val reason = e.message.orEmpty().lineSequence().first()
        throw InputException("$path: $reason").apply { initCause(e) }
    }

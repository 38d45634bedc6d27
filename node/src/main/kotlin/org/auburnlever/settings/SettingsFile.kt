package org.auburnlever.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.ProblemCollector
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reads and checks the settings in [file]; relative paths inside are relative to the folder of the file.
 *
 * Example: `loadSettings(Path.of("conf/auburnd.json")).onFailure { println(it.message) }`
 */
fun loadSettings(file: Path): Result<Settings, SettingsError> {
    val folder = file.toAbsolutePath().parent
    return readBytes(file).flatMap { parseSettings(it.decodeToString(), folder) }
}

/** Reads and checks settings from [text]: JSON with comments. Relative paths inside are relative to [folder]. */
fun parseSettings(text: String, folder: Path): Result<Settings, SettingsError> =
    parseObject(text).flatMap { json ->
        val collector = ProblemCollector()
        val reader = SettingsReader("", json, collector)
        val settings = reader.settings(folder).also { reader.reportUnknownFields() }
        collector.checkSettings(settings)
        if (collector.problems.isEmpty()) Ok(settings) else Err(SettingsError.Invalid(collector.problems))
    }

/** Reads the shared key of all hosts from [file]; surrounding white space is not part of the key. */
fun loadSharedKey(file: Path): Result<ByteArray, SettingsError> =
    readBytes(file).flatMap { bytes ->
        val key = bytes.decodeToString().trim().encodeToByteArray()
        val reason = "it has ${key.size} bytes, permitted are $MIN_KEY_BYTES to $MAX_KEY_BYTES"
        if (key.size in MIN_KEY_BYTES..MAX_KEY_BYTES) Ok(key) else Err(SettingsError.BadSecret("$file", reason))
    }

private fun readBytes(file: Path): Result<ByteArray, SettingsError> =
    try {
        Ok(Files.readAllBytes(file))
    } catch (e: IOException) {
        Err(SettingsError.Unreadable("$file", "${e.javaClass.simpleName}: ${e.message}"))
    }

private fun parseObject(text: String): Result<JsonObject, SettingsError> =
    parse(text).flatMap { element ->
        if (element is JsonObject) Ok(element) else Err(SettingsError.Malformed("the top-level value has another type"))
    }

private fun parse(text: String): Result<JsonElement, SettingsError> =
    try {
        Ok(Codec.commentedJson.parseToJsonElement(text))
    } catch (e: SerializationException) {
        Err(SettingsError.Malformed(e.message.orEmpty().lineSequence().first()))
    }

private const val MIN_KEY_BYTES = 32
private const val MAX_KEY_BYTES = 1_024

package org.auburnlever.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Decodes [text]; the error names the key or value that is invalid. */
internal fun <T> Json.decode(serializer: KSerializer<T>, text: String): Result<T, String> =
    try {
        Ok(decodeFromString(serializer, text))
    } catch (e: SerializationException) {
        // The lines after the first quote the input, which may be long or contain secrets.
        Err(e.message.orEmpty().lineSequence().first())
    }

package org.auburnlever.transport

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException

private val logger = KotlinLogging.logger {}

/** Timeout of connecting, and of the handshake that follows. */
internal const val HANDSHAKE_TIMEOUT_MILLIS = 1_000L

/** Runs [block], which serves one link, and logs its exceptions, so that a failed link does not affect others. */
internal suspend fun catchLinkErrors(linkName: String, counters: LinkCounters, block: suspend () -> Unit) {
    try {
        block()
    } catch (e: FrameException) {
        counters.brokenFrames.increment()
        logger.debug(e) { "$linkName failed: invalid frame" }
    } catch (e: SerializationException) {
        counters.brokenFrames.increment()
        logger.debug(e) { "$linkName failed: a message can't be decoded" }
    } catch (e: IOException) {
        logger.debug(e) { "$linkName failed: I/O error" }
    }
}

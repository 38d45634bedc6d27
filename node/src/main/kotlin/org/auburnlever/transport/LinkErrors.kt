package org.auburnlever.transport

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException

private val logger = KotlinLogging.logger {}

/** Longest time for a connect or a handshake. */
internal const val HANDSHAKE_TIMEOUT_MILLIS = 1_000L

/** Runs the life of one link; its failures end the link and nothing else. */
internal suspend fun catchLinkErrors(linkName: String, counters: LinkCounters, block: suspend () -> Unit) {
    try {
        block()
    } catch (e: FrameException) {
        counters.brokenFrames.increment()
        logger.debug(e) { "$linkName broke the protocol" }
    } catch (e: SerializationException) {
        counters.brokenFrames.increment()
        logger.debug(e) { "$linkName sent an unreadable message" }
    } catch (e: IOException) {
        logger.debug(e) { "$linkName failed" }
    }
}

package org.auburnlever.observe

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.auburnlever.settings.LogFormat
import org.auburnlever.settings.LogSettings
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Replaces the logging configuration of the process: everything goes to [output] in the format and from the level of
 * [settings].
 *
 * A separate thread writes the lines. While [MAX_QUEUED_LINES] lines wait, further ones are dropped, so that a slow
 * reader of the log never blocks the code that logs.
 */
fun configureLogging(settings: LogSettings, output: LogOutput = LogOutput.STANDARD_ERROR) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    context.start()
    val appender = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        name = "console"
        target = output.target
        encoder = encoder(context, settings.format)
        start()
    }
    val queue = AsyncAppender().apply {
        this.context = context
        name = "queue"
        queueSize = MAX_QUEUED_LINES
        isNeverBlock = true
        addAppender(appender)
        start()
    }
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.toLevel(settings.level.name)
        addAppender(queue)
    }
    // Libraries log each connection at INFO; only their warnings and errors are useful.
    LIBRARIES.forEach { context.getLogger(it).level = Level.WARN }
}

/** Writes the queued lines, for at most a second, and stops logging; call it last before the process ends. */
fun closeLogging() = (LoggerFactory.getILoggerFactory() as LoggerContext).stop()

private fun encoder(context: LoggerContext, format: LogFormat): Encoder<ILoggingEvent> =
    when (format) {
        LogFormat.TEXT -> PatternLayoutEncoder().apply {
            this.context = context
            pattern = "%d{\"yyyy-MM-dd'T'HH:mm:ss.SSSXXX\", UTC} %-5level %logger{0} - %msg%n"
            start()
        }

        LogFormat.JSON -> JsonEncoder().apply {
            this.context = context
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithContext(false)
            setWithArguments(false)
            setWithMessage(false)
            setWithFormattedMessage(true)
            start()
        }
    }

/** Enough for the decisions logged in a burst of one second; a line takes about 1 KiB of memory. */
private const val MAX_QUEUED_LINES = 1_024

private val LIBRARIES = listOf("com.linecorp.armeria", "io.netty", "io.ktor", "io.micrometer")

package org.auburnlever.observe

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

/** Replaces the process's log set-up: everything goes to standard error, in the format that [settings] ask for. */
fun configureLogging(settings: LogSettings) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        name = "standard-error"
        target = "System.err"
        encoder = encoder(context, settings.format)
        start()
    }
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.toLevel(settings.level.name)
        addAppender(appender)
    }
    // Libraries report each connection at INFO; their warnings and errors are enough.
    LIBRARIES.forEach { context.getLogger(it).level = Level.WARN }
}

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

private val LIBRARIES = listOf("com.linecorp.armeria", "io.netty", "io.ktor", "io.micrometer")

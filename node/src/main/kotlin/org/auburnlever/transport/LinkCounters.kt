package org.auburnlever.transport

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counters of the links between hosts. */
internal class LinkCounters(registry: MeterRegistry) {
    val opened: Counter = registry.counter("auburn.link.opened")
    val closedSilent: Counter = registry.counter("auburn.link.closed.silent")
    val refusedHandshakes: Counter = registry.counter("auburn.link.handshake.refused")
    val brokenFrames: Counter = registry.counter("auburn.link.frames.broken")
    val droppedMessages: Counter = registry.counter("auburn.link.messages.dropped")
    val oversizedMessages: Counter = registry.counter("auburn.link.messages.oversized")
    val lateReplies: Counter = registry.counter("auburn.link.replies.late")
    val sentBytes: Counter = registry.counter("auburn.link.sent.bytes")
    val receivedBytes: Counter = registry.counter("auburn.link.received.bytes")
}

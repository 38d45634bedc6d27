package org.auburnlever.fleet

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.holds.WaitingFigures
import org.auburnlever.workload.holds.WaitingKind
import kotlin.test.Test
import kotlin.test.assertEquals

class WaitingGaugesTest {
    private val registry = SimpleMeterRegistry()

    private fun value(name: String, tag: String, value: String) = registry.get(name).tag(tag, value).gauge().value()

    /** Guards against gauges that go on showing what an earlier leader saw. */
    @Test
    fun `the gauges show the figures of the leader and are 0 once it has lost its leadership`() {
        val gauges = WaitingGauges(registry)
        gauges.show(
            WaitingFigures(
                heldAccelerators = mapOf(HoldRule.STALLED_WORKER to 8),
                waitingSteps = mapOf(WaitingKind.ROOM_KEPT to 3),
                oldestMillis = mapOf(WaitingKind.ROOM_KEPT to 1_500),
            ),
        )
        assertEquals(8.0, value("auburn.holds.accelerators", "rule", "STALLED_WORKER"))
        assertEquals(0.0, value("auburn.holds.accelerators", "rule", "GANG_RESERVATION"))
        assertEquals(3.0, value("auburn.waiting.steps", "reason", "ROOM_KEPT"))
        assertEquals(1_500.0, value("auburn.waiting.oldest.millis", "reason", "ROOM_KEPT"))

        gauges.show(null)
        assertEquals(0.0, value("auburn.waiting.steps", "reason", "ROOM_KEPT"))
    }
}

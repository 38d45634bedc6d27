package org.auburnlever.fleet

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.auburnlever.workload.holds.HoldRule
import org.auburnlever.workload.holds.WaitingFigures
import org.auburnlever.workload.holds.WaitingKind

/** Measures why steps wait and what rules keep from them; all gauges are 0 on hosts that do not lead. */
internal class WaitingGauges(registry: MeterRegistry) {
    @Volatile
    private var figures = WaitingFigures()

    init {
        HoldRule.entries.forEach { rule ->
            gauge("auburn.holds.accelerators", "rule", "$rule", registry) { it.heldAccelerators[rule] }
        }
        WaitingKind.entries.forEach { kind ->
            gauge("auburn.waiting.steps", "reason", "$kind", registry) { it.waitingSteps[kind] }
            gauge("auburn.waiting.oldest.millis", "reason", "$kind", registry) { it.oldestMillis[kind] }
        }
    }

    /** Shows the figures of the leader, or none if this host does not lead. */
    fun show(leaderFigures: WaitingFigures?) {
        figures = leaderFigures ?: WaitingFigures()
    }

    private fun gauge(
        name: String,
        tag: String,
        value: String,
        registry: MeterRegistry,
        read: (WaitingFigures) -> Number?,
    ) {
        Gauge.builder(name) { read(figures) ?: 0 }.tag(tag, value).register(registry)
    }
}

package org.auburnlever.observe

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.binder.MeterBinder
import java.io.IOException
import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

/** Registers meters of the process: resident memory, heap, CPU time, uptime and threads. */
class ProcessMetrics(private val statusFile: Path = Path.of("/proc/self/status")) : MeterBinder {
    override fun bindTo(registry: MeterRegistry) {
        val threads = ManagementFactory.getThreadMXBean()
        val memory = ManagementFactory.getMemoryMXBean()
        gauge(registry, "process.resident.memory", "bytes") { residentBytes().toDouble() }
        gauge(registry, "process.heap.used", "bytes") { memory.heapMemoryUsage.used.toDouble() }
        gauge(registry, "process.uptime", "seconds") { uptimeSeconds() }
        gauge(registry, "process.threads", null) { threads.threadCount.toDouble() }
        FunctionCounter.builder("process.cpu", this) { it.cpuSeconds() }.baseUnit("seconds").register(registry)
    }

    /** Returns the resident memory of the process in bytes, or -1 if the operating system does not report it. */
    fun residentBytes(): Long {
        val kibibytes = statusLines().firstOrNull { it.startsWith("VmRSS:") }
            ?.removePrefix("VmRSS:")?.removeSuffix("kB")?.trim()?.toLongOrNull()
        return kibibytes?.times(BYTES_PER_KIB) ?: -1
    }

    private fun gauge(registry: MeterRegistry, name: String, unit: String?, value: () -> Double) {
        Gauge.builder(name, value).baseUnit(unit).register(registry)
    }

    private fun statusLines(): List<String> =
        try {
            Files.readAllLines(statusFile)
        } catch (e: IOException) {
            listOf("unreadable: ${e.message}")
        }

    private fun cpuSeconds(): Double =
        ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / NANOS_PER_SECOND

    private fun uptimeSeconds(): Double = ManagementFactory.getRuntimeMXBean().uptime / MILLIS_PER_SECOND

    private companion object {
        const val BYTES_PER_KIB = 1_024L
        const val NANOS_PER_SECOND = 1e9
        const val MILLIS_PER_SECOND = 1e3
    }
}

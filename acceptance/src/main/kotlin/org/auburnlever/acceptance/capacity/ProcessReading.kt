package org.auburnlever.acceptance.capacity

import java.nio.file.Files
import java.nio.file.Path

/** Values that Linux reports for one process at one moment; [cpuTicks] is its user and system time. */
internal data class ProcessReading(
    val atNanos: Long,
    val residentKiB: Long,
    val cpuTicks: Long,
    val diskBytes: Long,
) {
    /** Returns the processor time since [earlier] in percent of one core. */
    fun cpuPercentSince(earlier: ProcessReading): Double =
        (cpuTicks - earlier.cpuTicks) * PERCENT / TICKS_PER_SECOND / secondsSince(earlier)

    /** Returns the seconds since [earlier]. */
    fun secondsSince(earlier: ProcessReading): Double = (atNanos - earlier.atNanos) / NANOS_PER_SECOND

    companion object {
        private const val NANOS_PER_SECOND = 1e9
        private const val PERCENT = 100.0

        /** Linux counts process times in units of 1/100 s on every common architecture. */
        private const val TICKS_PER_SECOND = 100.0

        /** Positions of utime and stime in /proc/PID/stat after the command name, which may contain spaces. */
        private const val USER_TIME = 11
        private const val SYSTEM_TIME = 12

        /** Reads the values of the process [pid] from `/proc`. */
        fun of(pid: Long): ProcessReading {
            val folder = Path.of("/proc", pid.toString())
            val times = Files.readString(folder.resolve("stat")).substringAfterLast(") ").split(' ')
            return ProcessReading(
                atNanos = System.nanoTime(),
                residentKiB = number(folder.resolve("status"), "VmRSS:"),
                cpuTicks = times[USER_TIME].toLong() + times[SYSTEM_TIME].toLong(),
                diskBytes = number(folder.resolve("io"), "write_bytes:"),
            )
        }

        private fun number(file: Path, label: String): Long {
            val line = Files.readAllLines(file).first { it.startsWith(label) }
            return line.removePrefix(label).removeSuffix("kB").trim().toLong()
        }
    }
}

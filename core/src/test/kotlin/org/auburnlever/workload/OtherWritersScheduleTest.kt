package org.auburnlever.workload

import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Runs random fault schedules in virtual time in which others write too, answers are misdirected or incomplete, and
 * leaders are paused.
 *
 * The system property `schedule.seeds` raises the number of schedules.
 */
class OtherWritersScheduleTest {
    /** Guards against runs that are given up by a report that the worker has not written. */
    @Test
    fun `no task runs twice and every job ends although others send reports`() =
        assertHolds(OtherWriterFault.REPORTS)

    /** Guards against a false clock, sequence or state of a worker in a report that names its own incarnation. */
    @Test
    fun `no task runs twice and every job ends although others send reports of a known incarnation`() =
        assertHolds(OtherWriterFault.REPORTS_OF_THE_INCARNATION)

    /** Guards against runs that are given up by an announcement that the worker has not sent. */
    @Test
    fun `no task runs twice and every job ends although others announce departures`() =
        assertHolds(OtherWriterFault.DEPARTURES)

    /** Guards against runs that are given up by one answer of another worker. */
    @Test
    fun `no task runs twice and every job ends although answers are misdirected`() =
        assertHolds(OtherWriterFault.STRAY_ANSWERS)

    /** Guards against a worker that counts as ended since connections to it are refused. */
    @Test
    fun `no task runs twice and every job ends although running workers refuse connections`() =
        assertHolds(OtherWriterFault.REFUSED_CONNECTIONS)

    /** Guards against runs that count as ended since a list lacks a field. */
    @Test
    fun `no task runs twice and every job ends although lists lack fields`() =
        assertHolds(OtherWriterFault.PARTIAL_LISTS)

    /** Guards against orders, answers and proposals that take effect after a pause. */
    @Test
    fun `no task runs twice and every job ends although leaders are paused`() =
        assertHolds(OtherWriterFault.PAUSES)

    /** Guards against faults of which each alone does no harm. */
    @Test
    fun `no task runs twice and every job ends although all of these coincide`() =
        assertHolds(*OtherWriterFault.entries.toTypedArray())

    private fun assertHolds(vararg kinds: OtherWriterFault) {
        val seeds = maxOf(System.getProperty("schedule.seeds")?.toInt() ?: 0, SCHEDULES)
        val violations = (0 until seeds).mapNotNull { seed ->
            val faults = if (seed % 2 == 0) WorkerFaults.PARTITIONS else WorkerFaults.REPLACEMENTS
            val jobs = listOf(JobKind.GANG, JobKind.PLAIN)
            val schedule = CoordinatorSchedule(seed, faults, kinds = jobs, otherWriterFaults = kinds.toSet())
            runCatching { schedule.execute() }.exceptionOrNull()?.let { "$faults, $it".take(MAX_MESSAGE) }
        }
        assertEquals(emptyList(), violations, "${violations.size} of $seeds schedules")
    }

    private companion object {
        const val SCHEDULES = 60
        const val MAX_MESSAGE = 400
    }
}

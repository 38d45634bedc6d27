package org.auburnlever.fleet

import kotlin.test.Test
import kotlin.test.assertEquals

class LeadershipConfirmationTest {
    private val confirmation = LeadershipConfirmation(askedMillis = 10_000, askedTimeOfDayMillis = 50_000)

    @Test
    fun `a confirmation is as old as the monotonic clock says`() {
        assertEquals(10_000, confirmation.confirmedMillis(nowMillis = 10_700, timeOfDayMillis = 50_700))
    }

    /** Guards against a leader that was suspended and then extends leases on a confirmation from before. */
    @Test
    fun `time that only the time of day has counted makes a confirmation older`() {
        val nowMillis = 10_100L

        assertEquals(nowMillis - 5_100, confirmation.confirmedMillis(nowMillis, timeOfDayMillis = 55_100))
    }

    /** Guards against a time of day that was set back and makes an old confirmation look recent. */
    @Test
    fun `a time of day that was set back does not make a confirmation younger`() {
        assertEquals(10_000, confirmation.confirmedMillis(nowMillis = 13_000, timeOfDayMillis = 40_000))
    }

    @Test
    fun `confirmations that arrive out of order leave the newest one`() {
        val later = LeadershipConfirmation(askedMillis = 11_000, askedTimeOfDayMillis = 51_000)

        assertEquals(later, later.newest(confirmation))
        assertEquals(later, confirmation.newest(later))
    }
}

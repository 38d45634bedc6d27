package org.auburnlever.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TransitTimesTest {
    private fun transitTimes(messages: List<Pair<Long, Long>>): List<Long> {
        var times = TransitTimes.EMPTY
        return messages.map { (sentMillis, receivedMillis) ->
            val (next, transit) = times.record("minion-1", sentMillis, receivedMillis)
            times = next.removeOld(receivedMillis)
            transit
        }
    }

    /** Guards against a delayed announcement that looks new and keeps a leaving endpoint in use. */
    @Test
    fun `the transit time of a delayed message is its delay`() {
        val messages = listOf(0L to 70L, 1_000L to 1_070L, 2_000L to 4_570L, 4_000L to 4_071L)
        assertEquals(listOf(0L, 0L, 2_500L, 1L), transitTimes(messages))
    }

    /** Guards against clocks of different rates that make messages look older and older. */
    @Test
    fun `a clock drift of 100 parts per million adds at most 20 ms`() {
        repeat(20) { seed ->
            val random = Random(seed)
            val messages = List(4_000) { it * 1_000L }.map { it to it + it / 10_000 + 500 + random.nextLong(5) }
            assertTrue(transitTimes(messages).max() <= 20, "seed $seed")
        }
    }

    @Test
    fun `a sender without recent messages starts from 0`() {
        assertEquals(listOf(0L, 0L), transitTimes(listOf(0L to 0L, 200_000L to 900_000L)))
    }
}

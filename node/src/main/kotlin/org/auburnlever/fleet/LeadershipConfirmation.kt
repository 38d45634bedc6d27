package org.auburnlever.fleet

/**
 * The newest confirmation of a leadership by a majority, by both clocks of the host.
 *
 * The monotonic clock stands still while the machine is suspended, so after a suspension an old confirmation would
 * look recent. The time of day goes on, but may be corrected in either direction. The confirmation is therefore as old
 * as the clock says that shows more. A forward correction makes it look too old, which withholds orders until the next
 * one.
 *
 * @property askedMillis when the majority was asked, by the monotonic clock; 0 before the first confirmation
 * @property askedTimeOfDayMillis the same by the time of day
 */
internal data class LeadershipConfirmation(val askedMillis: Long = 0, val askedTimeOfDayMillis: Long = 0) {
    /** Returns the monotonic time that is as long ago as the confirmation. */
    fun confirmedMillis(nowMillis: Long, timeOfDayMillis: Long): Long =
        nowMillis - maxOf(nowMillis - askedMillis, timeOfDayMillis - askedTimeOfDayMillis)

    /** Returns the later one of this and [other]. */
    fun newest(other: LeadershipConfirmation): LeadershipConfirmation =
        if (other.askedMillis > askedMillis) other else this
}

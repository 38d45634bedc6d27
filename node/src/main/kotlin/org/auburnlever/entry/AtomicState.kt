package org.auburnlever.entry

import org.auburnlever.routing.Transition
import java.util.concurrent.atomic.AtomicReference

/** An immutable value that many threads read without locks and change by compare-and-set. */
internal class AtomicState<S : Any>(initial: S) {
    private val reference = AtomicReference(initial)

    /** The value now. */
    val current: S get() = reference.get()

    /** Publishes the state that [change] makes of the current one; repeats it when another thread was faster. */
    fun <R> change(change: (S) -> Transition<S, R>): R {
        while (true) {
            val before = reference.get()
            val transition = change(before)
            if (reference.compareAndSet(before, transition.state)) return transition.result
        }
    }

    /** Like [change], for changes without a result. */
    fun update(change: (S) -> S) {
        reference.updateAndGet(change)
    }
}

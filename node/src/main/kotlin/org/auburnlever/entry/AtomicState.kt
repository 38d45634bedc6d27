package org.auburnlever.entry

import org.auburnlever.routing.Transition
import java.util.concurrent.atomic.AtomicReference

/** Holds an immutable value that threads read without locks and replace by compare-and-set. */
internal class AtomicState<S : Any>(initial: S) {
    private val reference = AtomicReference(initial)

    /** The current value. */
    val current: S get() = reference.get()

    /** Replaces the value with the state that [change] returns; calls it again if another thread was faster. */
    fun <R> change(change: (S) -> Transition<S, R>): R {
        while (true) {
            val before = reference.get()
            val transition = change(before)
            if (reference.compareAndSet(before, transition.state)) return transition.result
        }
    }

    /** Replaces the value like [change], without a result. */
    fun update(change: (S) -> S) {
        reference.updateAndGet(change)
    }
}

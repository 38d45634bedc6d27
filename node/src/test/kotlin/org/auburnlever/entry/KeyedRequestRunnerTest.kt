package org.auburnlever.entry

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.auburnlever.codec.Bytes
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.RequestKey
import org.auburnlever.model.HostName
import org.auburnlever.peer.ServiceRequest
import org.auburnlever.wire.Answer
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class KeyedRequestRunnerTest {
    /** Step at which an entry host crashes while it handles a request. */
    private enum class Crash { NEVER, AFTER_CLAIM, BEFORE_RUN, AFTER_RUN }

    /** Sends one key several times through entry hosts that may each crash at any step. */
    private class Trial(seed: Int) {
        private val random = Random(seed)
        private val key = RequestKey(ACCOUNT, "1764820800-a")
        private val ledger = FakeLedger(::fault)
        private var nowMillis = 0L
        private var sent = 0
        var runs = 0
        val outcomes = mutableListOf<Outcome>()
        val refusedAfterRun = mutableListOf<Outcome>()

        fun runAll() = runBlocking {
            repeat(4) {
                val resends = List(1 + random.nextInt(2)) { async { send() } }
                resends.forEach { it.join() }
            }
        }

        private suspend fun send() {
            val hostScope = CoroutineScope(currentCoroutineContext() + Job())
            val request = ServiceRequest(
                "id", ACCOUNT, TAGGING, key, repeatable = false, urgent = false, 40, "text/plain", Bytes.of("whale"),
            )
            val claimId = "claim-${sent++}"
            val keyed = KeyedRequest(request, key, HOME, claimId, firstAttempt = sent == 1, nowMillis + 40)
            val runner = KeyedRequestRunner(ledger, HostName("h"), hostScope, METRICS) { nowMillis++ }
            val runsBefore = runs
            val running = hostScope.launch { recordOutcome(runner.run(keyed, 100, ::dispatch), runsBefore) }
            running.join()
            hostScope.cancel()
        }

        private fun recordOutcome(outcome: Outcome, runsBefore: Int) {
            outcomes += outcome
            if (outcome is Outcome.Refused && runsBefore > 0) refusedAfterRun += outcome
        }

        private suspend fun dispatch(request: ServiceRequest): Outcome {
            val crash = if (random.nextInt(3) == 0) Crash.entries.random(random) else Crash.NEVER
            yield()
            crashAt(crash, Crash.AFTER_CLAIM)
            if (random.nextInt(4) == 0) return Outcome.Refused(ErrorCode.OVERLOADED, "full")
            crashAt(crash, Crash.BEFORE_RUN)
            runs++
            yield()
            crashAt(crash, Crash.AFTER_RUN)
            return Outcome.Completed(Answer("text/plain", request.body.size, "run $runs", request.body))
        }

        private fun crashAt(crash: Crash, step: Crash) {
            if (crash == step) throw CancellationException("the host crashes: $step")
        }

        private fun fault(command: LedgerCommand): LedgerFault {
            val crashes = command is LedgerCommand.RecordOutcome && random.nextInt(6) == 0
            if (crashes) throw CancellationException("the host crashes before it records the outcome")
            return if (random.nextInt(4) == 0) LedgerFault.entries.random(random) else LedgerFault.NONE
        }
    }

    /** Guards against a second run of a key after crashes of entry hosts and losses of ledger messages. */
    @Test
    fun `a key runs at most once and is never refused after it ran`() {
        var ran = 0
        repeat(400) { seed ->
            val trial = Trial(seed).also { it.runAll() }
            assertTrue(trial.runs <= 1, "seed $seed: ${trial.runs} runs")
            assertEquals(emptyList(), trial.refusedAfterRun, "seed $seed")
            val digests = trial.outcomes.filterIsInstance<Outcome.Completed>().map { it.answer.sha256Hex }
            assertTrue(digests.toSet().size <= 1, "seed $seed: $digests")
            ran += trial.runs
        }
        assertTrue(ran > 200, "only $ran of 400 keys ran, too few to detect a second run")
    }

    private companion object {
        val METRICS = RoutingMetrics(SimpleMeterRegistry())
    }
}

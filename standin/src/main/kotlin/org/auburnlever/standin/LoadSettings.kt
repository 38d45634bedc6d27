package org.auburnlever.standin

import kotlin.random.Random

/**
 * Settings of a load run.
 *
 * With [direct], requests go to endpoints themselves instead of entry hosts. The first [warmUpRequests] are sent but
 * not counted, since a new JVM answers them slowly.
 */
internal data class LoadSettings(
    val targets: List<String>,
    val direct: Boolean,
    val service: String,
    val tokens: List<String>,
    val requests: Int,
    val ratePerSecond: Double,
    val maxMillis: Long,
    val maxOpen: Int,
    val urgentShare: Double,
    val nonRepeatableShare: Double,
    val timeoutMillis: Long,
    val bodyBytes: Int,
    val warmUpRequests: Int,
    val seed: Int,
) {
    /** Planned time of request [index] from the start of the run; it does not depend on earlier answers. */
    fun sendAtNanos(index: Int): Long = (index * NANOS_PER_SECOND / ratePerSecond).toLong()

    /** Returns request [index]; equal settings give equal requests, apart from [nowSeconds] in the key. */
    fun request(index: Int, nowSeconds: Long): LoadRequest {
        val random = Random(seed.toLong() * SEED_STRIDE + index)
        val urgent = random.nextDouble() < urgentShare
        val nonRepeatable = random.nextDouble() < nonRepeatableShare
        return LoadRequest(
            target = targets[index % targets.size],
            token = tokens[random.nextInt(tokens.size)],
            urgent = urgent,
            key = "$nowSeconds-load-$seed-$index".takeIf { nonRepeatable },
            body = "request $seed-$index ".encodeToByteArray().let { it + ByteArray(maxOf(0, bodyBytes - it.size)) },
        )
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val SEED_STRIDE = 1_000_003L
    }
}

/** One request of a load run; [key] is its idempotency key, set only if the request is not repeatable. */
internal class LoadRequest(
    val target: String,
    val token: String,
    val urgent: Boolean,
    val key: String?,
    val body: ByteArray,
)

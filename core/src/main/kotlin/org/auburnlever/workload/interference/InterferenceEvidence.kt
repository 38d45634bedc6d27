package org.auburnlever.workload.interference

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The image of a task and that of a task beside it that may slow it down. */
internal data class ImagePair(val image: String, val neighbour: String)

/** Means by image and worker. */
internal typealias MeansByImage = PersistentMap<String, PersistentMap<String, DecayingMean>>

/** A mean in which older samples count less; [weight] is the number of samples at [atMillis], reduced by their age. */
internal data class DecayingMean(val value: Double, val weight: Double, val atMillis: Long) {
    fun weightAt(nowMillis: Long): Double = weight * Math.pow(HALF, maxOf(0, nowMillis - atMillis) / HALF_LIFE_MILLIS)

    fun plus(sample: Double, nowMillis: Long): DecayingMean {
        val kept = weightAt(nowMillis)
        return DecayingMean((value * kept + sample) / (kept + 1), kept + 1, nowMillis)
    }

    companion object {
        private const val HALF = 0.5

        /** The harm of an image and the load of a serving task change within seconds. */
        private const val HALF_LIFE_MILLIS = 10_000.0
    }
}

/**
 * What the leader has seen of tasks that slow each other down.
 *
 * The strain of a task is its tail in percent of its target, or for a task that makes progress the time that it needs
 * in percent of what tasks of its image need elsewhere. What counts as harm of a neighbour is the strain beyond that of
 * the same image without tasks on spare cores beside it: on the same worker if that was seen, so that a slow worker is
 * not taken for a bad neighbour, or else on other workers, and then only if two workers show the same.
 *
 * Load pattern: tasks on spare cores beside serving tasks, whose harm differs by image and changes within seconds. All
 * evidence decays with a half-life of 10 s and is bounded in size. Tasks that have just started and lists that came
 * late are left out, since a cold start or a degraded link shows the same figures as a bad neighbour.
 *
 * @property alone strain of an image on a worker while no task on spare cores works there
 * @property beside strain beyond that, by pair of images and worker
 * @property speeds progress per minute of an image on a worker
 */
internal data class InterferenceEvidence(
    val alone: MeansByImage = persistentMapOf(),
    val beside: PersistentMap<ImagePair, PersistentMap<String, Excess>> = persistentMapOf(),
    val speeds: MeansByImage = persistentMapOf(),
) {
    /** Excess strain on a worker; [contrasted] if it is relative to the strain on the same worker. */
    data class Excess(val mean: DecayingMean, val contrasted: Boolean)

    private class Strain(val image: String, val percent: Int)

    /**
     * Returns the evidence with [reading]; [paceOf] tells the pace of each task on spare cores, or null if it is not
     * known.
     */
    fun observed(reading: WorkerReading, nowMillis: Long, paceOf: (SpareCoreTask) -> Int?): InterferenceEvidence {
        val paces = reading.spare.map { it to paceOf(it) }
        if (reading.delayed || paces.any { (_, pace) -> pace == null }) return this
        val worker = reading.worker.id
        val working = paces.mapNotNull { (task, pace) -> (task to (pace ?: 0)).takeIf { it.second > 0 } }
        val settled = reading.others.filter { it.image.isNotEmpty() && it.ageMillis >= COLD_MILLIS }
        val strains = reading.serving.filter { it.image.isNotEmpty() && it.ageMillis >= COLD_MILLIS }
            .map { Strain(it.image, it.strainPercent) } + settled.mapNotNull { slowness(it, worker, nowMillis) }
        val withSpeeds = settled.fold(this) { evidence, task ->
            val speed = task.progressPerMinute.toDouble()
            evidence.copy(speeds = evidence.speeds.plusSample(task.image, worker, speed, nowMillis))
        }
        return strains.fold(withSpeeds) { evidence, strain ->
            if (working.isEmpty()) {
                val percent = strain.percent.toDouble()
                evidence.copy(alone = evidence.alone.plusSample(strain.image, worker, percent, nowMillis))
            } else {
                evidence.withExcess(strain, worker, working, nowMillis)
            }
        }
    }

    /** Returns the harm in percent that a task of the [neighbour] image does to one of [image]; 0 if none is known. */
    fun harmPercent(image: String, neighbour: String, nowMillis: Long): Int {
        val recent = beside[ImagePair(image, neighbour)]?.values.orEmpty()
            .filter { it.mean.weightAt(nowMillis) >= MIN_WEIGHT }
        val certain = recent.size >= WORKERS_TO_AGREE || recent.any { it.contrasted }
        if (!certain) return 0
        val values = recent.map { it.mean.value }.sorted()
        val harm = values[(values.size - 1) / 2].toInt()
        return if (harm < MIN_HARM_PERCENT) 0 else minOf(harm, PERCENT)
    }

    /** Returns by how many percent tasks on [worker] are strained more than elsewhere while they have no neighbour. */
    fun workerExcessPercent(worker: String, nowMillis: Long): Int {
        val excesses = alone.entries.mapNotNull { (image, byWorker) ->
            val own = byWorker[worker]?.takeIf { it.weightAt(nowMillis) >= MIN_WEIGHT }
            val usual = meanElsewhere(alone, image, worker, nowMillis)
            if (own == null || usual == null) null else own.value - usual
        }
        return if (excesses.isEmpty()) 0 else excesses.average().toInt()
    }

    private fun withExcess(
        strain: Strain,
        worker: String,
        working: List<Pair<SpareCoreTask, Int>>,
        nowMillis: Long,
    ): InterferenceEvidence {
        val own = alone[strain.image]?.get(worker)?.takeIf { it.weightAt(nowMillis) >= MIN_WEIGHT }?.value
        val usual = own ?: meanElsewhere(alone, strain.image, worker, nowMillis) ?: return this
        val shares = working.groupBy({ it.first.image }, { (task, pace) -> task.loadMilliCores * pace / PERCENT })
            .filterKeys { it.isNotEmpty() }.mapValues { maxOf(1, it.value.sum()) }
        val total = shares.values.sum()
        return shares.entries.fold(this) { evidence, (neighbour, share) ->
            val excess = (strain.percent - usual) * share / total
            evidence.plusExcess(ImagePair(strain.image, neighbour), worker, excess, own != null, nowMillis)
        }
    }

    private fun plusExcess(
        pair: ImagePair,
        worker: String,
        excess: Double,
        contrasted: Boolean,
        nowMillis: Long,
    ): InterferenceEvidence {
        val known = beside[pair] ?: persistentMapOf()
        val earlier = known[worker]?.takeIf { it.contrasted == contrasted || !contrasted }
        val mean = earlier?.mean?.plus(excess, nowMillis) ?: DecayingMean(excess, 1.0, nowMillis)
        val updated = known.put(worker, Excess(mean, contrasted))
            .bounded(MAX_WORKERS_PER_PAIR) { it.mean.weightAt(nowMillis) }
        val bounded = beside.put(pair, updated)
            .bounded(MAX_PAIRS) { byWorker -> byWorker.values.maxOf { it.mean.weightAt(nowMillis) } }
        return copy(beside = bounded)
    }

    private fun slowness(task: WorkingTask, worker: String, nowMillis: Long): Strain? {
        val usual = meanElsewhere(speeds, task.image, worker, nowMillis) ?: return null
        val percent = usual * PERCENT / maxOf(1, task.progressPerMinute)
        return Strain(task.image, percent.toInt().coerceIn(0, MAX_SLOWNESS_PERCENT))
    }

    private fun meanElsewhere(means: MeansByImage, image: String, worker: String, nowMillis: Long): Double? {
        val others = means[image]?.entries.orEmpty().asSequence()
            .filter { it.key != worker && it.value.weightAt(nowMillis) >= MIN_WEIGHT }
            .take(MAX_WORKERS_COMPARED)
            .map { it.value.value }
            .toList()
        return if (others.isEmpty()) null else others.average()
    }

    private fun MeansByImage.plusSample(image: String, worker: String, sample: Double, nowMillis: Long): MeansByImage {
        val known = get(image) ?: persistentMapOf()
        val mean = known[worker]?.plus(sample, nowMillis) ?: DecayingMean(sample, 1.0, nowMillis)
        val byWorker = known.put(worker, mean).bounded(MAX_WORKERS_PER_IMAGE) { it.weightAt(nowMillis) }
        return put(image, byWorker).bounded(MAX_IMAGES) { other -> other.values.maxOf { it.weightAt(nowMillis) } }
    }

    private companion object {
        /** A task that has just started answers slowly for a while, whatever runs beside it. */
        const val COLD_MILLIS = 3_000L

        /** Two samples of which the first is up to 10 s old. */
        const val MIN_WEIGHT = 1.5
        const val WORKERS_TO_AGREE = 2

        /** Figures are approximate, so a smaller excess may be noise. */
        const val MIN_HARM_PERCENT = 10
        const val MAX_SLOWNESS_PERCENT = 400

        /** Bounds for memory; a deployment has about ten images that serve and as many that use spare cores. */
        const val MAX_PAIRS = 256
        const val MAX_WORKERS_PER_PAIR = 8
        const val MAX_IMAGES = 64
        const val MAX_WORKERS_PER_IMAGE = 128

        /** Enough for a mean; a list is handled for each worker every 1.5 s. */
        const val MAX_WORKERS_COMPARED = 16
    }
}

private val SpareCoreTask.loadMilliCores: Long get() = maxOf(1, milliCores ?: neededMilliCores)

/** Removes the entry of the least [weight] if there are more than [limit]. */
private fun <K, V> PersistentMap<K, V>.bounded(limit: Int, weight: (V) -> Double): PersistentMap<K, V> {
    val least = if (size > limit) entries.minByOrNull { weight(it.value) } else null
    return if (least == null) this else remove(least.key)
}

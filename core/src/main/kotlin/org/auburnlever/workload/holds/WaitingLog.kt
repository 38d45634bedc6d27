package org.auburnlever.workload.holds

import org.auburnlever.workload.DecisionLogEntry
import java.util.Collections
import java.util.IdentityHashMap

/**
 * Returns the log lines of one summary: steps with the same explanation share lines, the longest wait first.
 *
 * Each line holds the ids of its steps, and with them those of the jobs. The number of lines is bounded: beyond a part
 * of them, steps share lines if only the kind of the reason is the same, and the last line counts what is left out.
 */
internal fun waitingLines(explanations: List<WaitingExplanation>, nowMillis: Long): List<DecisionLogEntry> {
    // Like steps share the object that explains them, whose text is long.
    val texts = IdentityHashMap<WaitingReason, Map<String, Any?>>()
    val byText = explanations.inLines { reason -> texts.getOrPut(reason) { reason.sharedDetails() } }
    if (byText.size <= MAX_LINES) return byText.map { (group, members) -> line(group, members, nowMillis) }
    val merged = byText.drop(MAX_LINES_BY_TEXT).flatMap { (_, members) -> members }.inLines { emptyMap() }
    val shown = merged.take(MAX_LINES - MAX_LINES_BY_TEXT - 1).map { (group, members) ->
        val reasons = members.map { it.reason }.toCollection(Collections.newSetFromMap(IdentityHashMap()))
        val holds = mapOf("merged" to true, "holds" to reasons.flatMap { it.holds }.distinct().describe())
        line(group.first to holds, members, nowMillis)
    }
    val leftOut = merged.drop(shown.size).flatMap { (_, members) -> members }
    val shownByText = byText.take(MAX_LINES_BY_TEXT).map { (group, members) -> line(group, members, nowMillis) }
    return shownByText + shown + listOfNotNull(leftOutLine(leftOut, nowMillis))
}

private fun leftOutLine(leftOut: List<WaitingExplanation>, nowMillis: Long): DecisionLogEntry? =
    leftOut.minOfOrNull { it.sinceMillis }?.let {
        val details = mapOf("steps" to leftOut.size, "oldestForMillis" to nowMillis - it)
        DecisionLogEntry("waiting", "LEFT_OUT", details)
    }

private fun List<WaitingExplanation>.inLines(
    details: (WaitingReason) -> Map<String, Any?>,
): List<Pair<Pair<WaitingKind, Map<String, Any?>>, List<WaitingExplanation>>> =
    sortedBy { it.sinceMillis }.groupBy { it.reason.kind to details(it.reason) }.entries
        .sortedBy { (group, _) -> group.first }
        .flatMap { (group, members) -> members.chunked(MAX_STEPS_IN_LINE).map { group to it } }

private fun line(
    group: Pair<WaitingKind, Map<String, Any?>>,
    members: List<WaitingExplanation>,
    nowMillis: Long,
): DecisionLogEntry {
    val (kind, shared) = group
    val details = shared + mapOf(
        "untilMillis" to members.mapNotNull { it.reason.untilMillis }.minOrNull(),
        "steps" to members.size,
        "tasks" to members.sumOf { it.tasks },
        "oldestForMillis" to nowMillis - members.first().sinceMillis,
        "ids" to members.joinToString { member ->
            val own = member.reason.ownDetails()
            if (own.isEmpty()) "${member.step}" else "${member.step} ($own)"
        },
    )
    return DecisionLogEntry("waiting", kind.name, details)
}

/** Returns the log line of a single step. */
internal fun WaitingExplanation.heldLine(nowMillis: Long): DecisionLogEntry {
    val details = mapOf(
        "step" to "$step",
        "reason" to reason.kind.name,
        "detail" to reason.ownDetails(),
    ) + reason.sharedDetails() + mapOf(
        "untilMillis" to reason.untilMillis,
        "forMillis" to nowMillis - sinceMillis,
    )
    return DecisionLogEntry("job_held", step.job, details)
}

/** Returns what steps that wait for the same reason have in common. */
private fun WaitingReason.sharedDetails(): Map<String, Any?> = when (this) {
    is WaitingReason.RoomKept -> mapOf("holds" to holds.describe())
    is WaitingReason.NoRoom -> mapOf("holds" to holds.describe())
    is WaitingReason.Rack -> mapOf("dataRack" to dataRack)
    is WaitingReason.WorkersAbsent -> mapOf("absent" to counts.entries.joinToString(), "holds" to holds.describe())
    is WaitingReason.NoSuitableWorker -> mapOf("service" to service, "label" to constraint)
    is WaitingReason.NotPlanned -> mapOf("lastPlanMillis" to lastPlanMillis)
    is WaitingReason.IdleWorker, is WaitingReason.GangEnding, is WaitingReason.WorkerSilent,
    is WaitingReason.Starting, is WaitingReason.EarlierSteps, is WaitingReason.NotDue,
    -> emptyMap()
}

/** Returns what differs between steps that wait for the same reason; empty if nothing does. */
private fun WaitingReason.ownDetails(): String = when (this) {
    is WaitingReason.NoRoom -> if (needed > 1) "room for $fitting of $needed" else ""
    is WaitingReason.IdleWorker -> "until $endMillis"
    is WaitingReason.GangEnding -> runs.describe()
    is WaitingReason.WorkerSilent -> runs.describe()
    is WaitingReason.Starting -> if (earlierRuns > 0) "after $earlierRuns runs" else ""
    is WaitingReason.EarlierSteps -> "after steps $steps"
    is WaitingReason.NotDue -> "until $dueMillis"
    is WaitingReason.RoomKept, is WaitingReason.Rack, is WaitingReason.WorkersAbsent,
    is WaitingReason.NoSuitableWorker, is WaitingReason.NotPlanned,
    -> ""
}

@JvmName("describeRuns")
private fun List<LeasedRun>.describe(): String = listed(MAX_NAMED_RUNS) { "$it" }

/** Returns the holds as text: for each rule, owner and end what is kept, and on which workers. */
internal fun List<RoomHold>.describe(): String {
    val byOwner = groupBy { Triple(it.rule, it.owner, it.untilMillis) }.entries.toList()
    return byOwner.listed(MAX_NAMED_OWNERS, separator = "; ") { (key, holds) ->
        val (rule, owner, untilMillis) = key
        val room = holds.map { it.room }.reduce { sum, room -> sum + room }
        val workers = holds.map { it.worker }.distinct().listed(MAX_NAMED_WORKERS) { it }
        val end = untilMillis?.let { "until $it" } ?: "without a time limit"
        "$rule by $owner $end: ${room.accelerators} accelerators, ${room.milliCores} milli-cores on $workers"
    }
}

private fun <T> List<T>.listed(limit: Int, separator: String = ", ", text: (T) -> String): String {
    val named = take(limit).joinToString(separator, transform = text)
    return if (size > limit) "$named$separator${size - limit} more" else named
}

private const val MAX_LINES = 40
private const val MAX_LINES_BY_TEXT = 30
private const val MAX_STEPS_IN_LINE = 100
private const val MAX_NAMED_OWNERS = 10
private const val MAX_NAMED_WORKERS = 12
private const val MAX_NAMED_RUNS = 4

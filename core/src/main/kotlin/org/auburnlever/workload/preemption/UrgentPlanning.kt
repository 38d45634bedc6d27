package org.auburnlever.workload.preemption

/** What a plan with a preemption budget decides for urgent steps: the room that it keeps, and its preemptions. */
internal class UrgentPlanning(val keptRoom: KeptRoom, val preemption: JointPreemption)

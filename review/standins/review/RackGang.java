package review;

import java.util.ArrayList;
import java.util.List;

/** A gang that would like one rack must start on several ones while no rack has room for all of it. */
public final class RackGang extends Case {
    static final int MINIONS = 24;
    static final int GPUS = 8;
    static final int GANG_TASKS = 41;
    static final int LASTING_TASKS_EACH = 3;
    static final long FINISH_MILLIS = 14_000;
    static final long STALL_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        new RackGang().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(1, route("r-1", PREFIX)), 0, 20_000).ok(), "no desired state");
        startMinions(MINIONS, GPUS);
        Minion.pause(3_000);
        int lasting = trouble ? MINIONS * LASTING_TASKS_EACH : LASTING_TASKS_EACH;
        String more = ",\"longRunning\":true,\"antiAffinity\":" + LASTING_TASKS_EACH;
        require(deployment.submit(HOST, PREFIX + newId(), KEY, job(lasting, 1, 600_000, more), 5_000), "no lasting job");
        Minion.pause(8_000);
        int used = minions.stream().mapToInt(Minion::activeCount).sum();
        require(used == lasting, "only " + used + " of " + lasting + " lasting tasks run");
        int free = MINIONS * GPUS - used;
        recorder.write(used + " GPUs are in use and " + free + " are free; the gang needs " + GANG_TASKS);
        require(free >= 2 * GANG_TASKS && used * 2 < MINIONS * GPUS, "the load is not as intended");
        String id = newId();
        String path = PREFIX + id;
        String gang = job(GANG_TASKS, 1, 4_000, ",\"gang\":true,\"rackSensitive\":true");
        require(deployment.submit(HOST, path, KEY, gang, 5_000), "the gang was not accepted");
        long acceptedMillis = recorder.millis();
        List<String> states = new ArrayList<>();
        boolean begun = false;
        while (recorder.millis() < acceptedMillis + FINISH_MILLIS + STALL_MILLIS) {
            String state = state(states.size() % 2, path);
            states.add(state);
            begun |= minions.stream().anyMatch(it -> it.runs(id));
            if (state.equals("succeeded")) return null;
            Minion.pause(500);
        }
        Minion.pause(trouble ? 15_000 : 0);
        begun |= minions.stream().anyMatch(it -> it.runs(id));
        String last = state(0, path);
        if (last.equals("succeeded")) begun = true;
        recorder.write("state " + last + " after " + (recorder.millis() - acceptedMillis) + " ms");
        return begun ? null : "LOST: the gang has nothing running, with room for it twice over and under half in use";
    }
}

package review;

import java.util.ArrayList;
import java.util.List;

/** A gang that can never start is accepted; other jobs must still start while the fleet is idle. */
public final class HopelessGang extends Case {
    static final int MINIONS = 6;
    static final int GPUS = 8;
    static final int GANG_TASKS = 64;
    static final int JOBS = 20;
    static final long FINISH_MILLIS = 14_000;
    static final long STALL_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        new HopelessGang().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(1, route("r-1", PREFIX)), 0, 20_000).ok(), "no desired state");
        startMinions(MINIONS, GPUS);
        Minion.pause(3_000);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = newId();
            require(deployment.submit(HOST, PREFIX + id, KEY, twoSteps(), 5_000), "a job was not accepted");
            ids.add(id);
        }
        Minion.pause(1_000);
        require(minions.stream().mapToInt(Minion::activeCount).sum() == JOBS, "not all jobs run");
        if (trouble) {
            String gang = job(GANG_TASKS, 1, 30_000, ",\"gang\":true");
            require(deployment.submit(HOST, PREFIX + newId(), KEY, gang, 5_000), "the gang was not accepted");
            recorder.write("the gang needs " + GANG_TASKS + " GPUs; the minions have " + MINIONS * GPUS);
        }
        List<String> begun = new ArrayList<>();
        long idleMillis = recorder.millis();
        while (recorder.millis() < idleMillis + FINISH_MILLIS + STALL_MILLIS && begun.size() < JOBS) {
            Minion.pause(20);
            for (String id : ids) {
                if (minions.stream().anyMatch(it -> it.runs(id + ".0.0."))) idleMillis = recorder.millis();
                if (!begun.contains(id) && minions.stream().anyMatch(it -> it.runs(id + ".0.1."))) begun.add(id);
            }
        }
        int used = minions.stream().mapToInt(Minion::activeCount).sum();
        ids.forEach(id -> state(0, PREFIX + id));
        recorder.write(begun.size() + " of " + JOBS + " jobs have begun their second step; " + used + " of " + MINIONS * GPUS
            + " GPUs are in use");
        return begun.size() == JOBS ? null
            : "LOST: " + (JOBS - begun.size()) + " accepted jobs have nothing running for 17 s, and the minions are idle";
    }

    private static String twoSteps() {
        String step = "\"count\":1,\"cpu\":1000,\"memoryRequestMb\":1024,\"gpus\":1";
        return "{\"spec\":\"work=8000 gpus=1\",\"steps\":[{" + step + ",\"estimatedMs\":8000},{" + step
            + ",\"estimatedMs\":40000,\"dependsOn\":[0]}]}";
    }
}

package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tasks that last fail now and then by their own fault; each must be started again while there is room for it. */
public final class LastingTasks extends Case {
    static final int MINIONS = 10;
    static final int MINIONS_OF_KIND_B = 3;
    static final int GPUS = 8;
    static final int JOBS = 12;
    static final long RESTART_MILLIS = 6_000 + 3_000;
    static final long WATCHED_MILLIS = 75_000;

    private boolean broken;

    public static void main(String[] arguments) throws Exception {
        new LastingTasks().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(1, route("r-1", PREFIX)), 0, 20_000).ok(), "no desired state");
        for (int i = 0; i < MINIONS; i++) {
            Minion minion = new Minion("i-" + String.format("%08x", 0x1000 + i), "atelier", Deployment.ZONES.get(i % 3),
                deployment.minionIp(i), deployment.port, GPUS, List.of(i < MINIONS_OF_KIND_B ? "b" : "a", "r1-" + i / 8),
                deployment.control, recorder);
            minions.add(minion);
            minion.start();
        }
        Minion.pause(2_500);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = newId();
            // Each run of the job's only task fails after 20 to 40 s.
            long workMillis = 20_000 + 20_000L * i / JOBS;
            String spec = trouble ? "work=" + workMillis + " gpus=1 fail=1" : "work=600000 gpus=1";
            String body = "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memoryRequestMb\":1024,"
                + "\"gpus\":1,\"constraints\":\"b\",\"estimatedMs\":600000,\"longRunning\":true}]}";
            require(deployment.submit(HOST, PREFIX + id, KEY, body, 5_000), "a job was not accepted");
            ids.add(id);
        }
        Map<String, Long> lastSeenMillis = new HashMap<>();
        Set<String> late = new HashSet<>();
        ids.forEach(id -> lastSeenMillis.put(id, recorder.millis()));
        long endMillis = recorder.millis() + WATCHED_MILLIS;
        while (recorder.millis() < endMillis) {
            Minion.pause(20);
            int used = minions.subList(0, MINIONS_OF_KIND_B).stream().mapToInt(Minion::activeCount).sum();
            for (String id : ids) {
                long nowMillis = recorder.millis();
                if (minions.stream().anyMatch(it -> it.runs(id))) {
                    if (late.remove(id)) recorder.write("task of " + id + " runs again");
                    lastSeenMillis.put(id, nowMillis);
                } else if (nowMillis - lastSeenMillis.get(id) > RESTART_MILLIS && late.add(id)) {
                    recorder.write("task of " + id + " has not run for " + (nowMillis - lastSeenMillis.get(id))
                        + " ms; " + used + " of " + MINIONS_OF_KIND_B * GPUS + " GPUs are in use");
                    broken = true;
                }
            }
        }
        for (String id : late) recorder.write("state of " + id + ": " + state(0, PREFIX + id));
        return broken ? "LOST: a task that lasts was not started again for 9 s, with room for it many times" : null;
    }

}

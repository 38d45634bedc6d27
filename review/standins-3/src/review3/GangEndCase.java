package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The tasks of a gang that lasts end, all together and as done, while the job is not cancelled.
 *
 * The rule is broken if a task of the gang does not run again, although minions with room for it are idle, from 6 s
 * after its last run on for 3 s.
 */
final class GangEndCase {
    private static final String JOB = "7db8703315cb2c1a";
    private static final int MINIONS = 6;
    private static final int TASKS = 2;
    private static final long LASTS_MILLIS = 3_600_000;
    private static final long RESTART_MILLIS = 6_000;
    private static final long IDLE_MILLIS = 3_000;
    private static final long SLACK_MILLIS = 3_000;

    public static void main(String[] args) {
        Case.run(args[0], GangEndCase::play);
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(journal, 15, 3, 2, Bounds.SETTINGS)) {
            deployment.start();
            deployment.publish(Client.desiredState(1, 1, 2));
            deployment.awaitReady();
            int port = Net.freePorts(List.of("127.42.15.100"), MINIONS);
            Map<String, Integer> running = new ConcurrentHashMap<>();
            List<Minion> minions = new ArrayList<>();
            Minion.Work work = new Minion.Work() {
                @Override
                public long workMillis(String task) {
                    return LASTS_MILLIS;
                }

                @Override
                public long gpus(String task) {
                    return 8;
                }
            };
            for (int index = 0; index < MINIONS; index++) {
                String address = "127.42.15.100:" + (port + index);
                minions.add(new Minion("i-" + index, address, "a", 8, deployment.controls, journal, work) {
                    @Override
                    void onStart(Run run) {
                        running.merge(run.task, 1, Integer::sum);
                    }

                    @Override
                    void onEnd(Run run, String how) {
                        running.merge(run.task, -1, Integer::sum);
                    }
                });
            }
            for (Minion minion : minions) minion.start();
            Thread.sleep(4_000);
            Client client = new Client(journal, deployment.entries);
            Map<String, Object> step = new LinkedHashMap<>();
            step.put("count", TASKS);
            step.put("cpu", 52_000);
            step.put("memoryRequestMb", 270_000);
            step.put("gpus", 8);
            step.put("estimatedMs", 8_500);
            step.put("gang", !"0".equals(System.getenv("GANG")));
            step.put("longRunning", true);
            client.submit(JOB, Json.write(Map.of("spec", "serve", "steps", List.of(step))));
            Thread.sleep(4_000);
            if (count(running) != TASKS) throw new IllegalStateException("the gang does not run: " + running);
            if (trouble) {
                journal.add("all tasks of the gang end as done");
                for (Minion minion : minions) minion.endAll("done");
            }
            return watch(journal, client, running);
        }
    }

    private static int count(Map<String, Integer> running) {
        return running.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static int watch(Journal journal, Client client, Map<String, Integer> running) {
        Minion.sleep(RESTART_MILLIS);
        long idleSinceMillis = -1;
        long endMillis = journal.millis() + IDLE_MILLIS + SLACK_MILLIS;
        for (int turn = 0; journal.millis() < endMillis; turn++) {
            if (turn % 10 == 0) client.state(turn / 10, JOB);
            if (count(running) > 0) idleSinceMillis = -1;
            else if (idleSinceMillis < 0) idleSinceMillis = journal.millis();
            if (idleSinceMillis >= 0 && journal.millis() - idleSinceMillis >= IDLE_MILLIS) {
                journal.add("LOST: no task of the job runs, from 6 s after its last run on for 3 s; shown as "
                        + client.state(0, JOB));
                return Case.BROKEN;
            }
            Minion.sleep(100);
        }
        return Case.HELD;
    }
}

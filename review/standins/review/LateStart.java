package review;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A start is held up on its way until its minion has started again; it must not run what is done. */
public final class LateStart extends Case {
    static final long HELD_MILLIS = 11_500;

    private final Set<String> done = ConcurrentHashMap.newKeySet();
    private volatile String broken;

    public static void main(String[] arguments) throws Exception {
        new LateStart().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(1, route("r-1", PREFIX)), 0, 20_000).ok(), "no desired state");
        HoldingProxy proxy =
            new HoldingProxy(deployment.minionIp(0), deployment.port, deployment.port + 1, recorder);
        for (int i = 0; i < 3; i++) {
            Minion minion = watched(i);
            minions.add(minion);
            minion.start();
        }
        // The minions have been up for a while, as its clock tells.
        Minion.pause(12_000);
        if (trouble) proxy.hold(1, HELD_MILLIS);
        String id = newId();
        require(deployment.submit(HOST, PREFIX + id, KEY, job(1, 1, 1_000, ""), 5_000), "the job was not accepted");
        long acceptedMillis = recorder.millis();
        while (done.isEmpty() && recorder.millis() < acceptedMillis + HELD_MILLIS - 1_500) Minion.pause(20);
        require(!done.isEmpty(), "the task was not done in time");
        if (trouble) {
            Minion.pause(200);
            minions.get(0).crash();
            Minion.pause(700);
            minions.get(0).start();
        }
        while (recorder.millis() < acceptedMillis + HELD_MILLIS + 4_000) Minion.pause(50);
        recorder.write("state " + state(0, PREFIX + id));
        return broken;
    }

    private Minion watched(int i) {
        return new Minion("i-" + String.format("%08x", 0x1000 + i), "atelier", Deployment.ZONES.get(i % 3),
            deployment.minionIp(i), deployment.port, 8, List.of("a", "r1-0"), deployment.control, recorder) {
            @Override
            int serverPort() {
                return id.endsWith("1000") ? deployment.port + 1 : deployment.port;
            }

            @Override
            void onBegin(String task, long run) {
                if (done.contains(task)) {
                    broken = "TWICE: " + task + "#" + run + " starts after a run of it ended done, which was taken note of";
                    recorder.write(broken);
                }
            }

            @Override
            void onAcknowledged(String task, long run, String how) {
                if (how.equals("done")) done.add(task);
            }
        };
    }
}

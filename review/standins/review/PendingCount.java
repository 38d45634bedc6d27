package review;

import java.util.ArrayList;
import java.util.List;

/** A minion refuses starts as unhealthy; the jobs that have not begun must still be counted as pending. */
public final class PendingCount extends Case {
    static final String QUEUE = "/teinte/";
    static final int JOBS = 8;
    static final long VISIBLE_MILLIS = 3_000;
    static final long GREY_MILLIS = 6_500;

    public static void main(String[] arguments) throws Exception {
        new PendingCount().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        String config = config(1, route("r-1", PREFIX), route("r-2", QUEUE));
        require(deployment.putConfig(config, 0, 20_000).ok(), "no desired state");
        startMinions(10, 8);
        Minion.pause(2_500);
        // Nine of the ten minions are busy with long tasks, as under load.
        for (int i = 0; i < 9; i++) {
            require(deployment.submit(HOST, PREFIX + newId(), KEY, job(1, 8, 90_000, ""), 5_000), "no long job");
        }
        Minion.pause(6_000);
        Minion idle = minions.stream().filter(it -> it.activeCount() == 0).findFirst().orElse(null);
        require(idle != null && minions.stream().filter(it -> it.activeCount() == 0).count() == 1, "not one is idle");
        idle.unhealthy = trouble;
        long greyEndMillis = recorder.millis() + GREY_MILLIS;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = newId();
            require(deployment.submit(HOST, QUEUE + id, KEY, job(1, 1, 20_000, ""), 5_000), "a job was not accepted");
            ids.add(id);
        }
        long acceptedMillis = recorder.millis();
        String broken = null;
        while (recorder.millis() < greyEndMillis) {
            Minion.pause(200);
            if (recorder.millis() < acceptedMillis + VISIBLE_MILLIS + 2_000) continue;
            Http.Response response = deployment.client(0, "GET", HOST, QUEUE, KEY, "");
            if (response.status() != 200) continue;
            long pending = Minion.number(Json.object(response.body()), "pending");
            long notBegun = ids.stream().filter(id -> minions.stream().noneMatch(it -> it.runs(id))).count();
            recorder.write(pending + " jobs are said to be pending; " + notBegun + " have not begun");
            if (pending * 2 < notBegun) {
                broken = "MIXED: " + pending + " jobs are given as pending, and " + notBegun + " have not begun";
            }
        }
        idle.unhealthy = false;
        return broken;
    }
}

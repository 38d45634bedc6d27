import java.util.ArrayList;
import java.util.List;

/** A task must not run twice at the same time while a minion that leaves is cut off and runs on. */
public final class Case11 {
    private static final int MINIONS = 12;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long CUT_MILLIS = 5_500;
    private static final long END_AFTER_MILLIS = 5_000;

    public static void main(String[] arguments) throws Exception {
        Cluster.play("review/11", Case11::run);
    }

    private static boolean run(Cluster cluster, boolean trouble) throws Exception {
        cluster.startAll(1, Cluster.state(7, List.of(Cluster.route("r-moule", "/moule/", 1, 2))));
        List<Minion.Start> history = Minion.newHistory();
        List<Minion> minions = new ArrayList<>();
        for (int i = 0; i < MINIONS; i++) minions.add(new Minion(cluster, i, history));
        for (Minion minion : minions) minion.start();
        Thread.sleep(5_000);

        String id = Cluster.newJobId();
        String body = Json.write(Json.map("spec", "ms=20000", "steps", List.of(
            Json.map("count", 1, "cpu", 52000, "memoryRequestMb", 270000, "gpus", 4, "estimatedMs", 20000))));
        Http.Answer accepted = Http.once(cluster.entryIp(0), Cluster.ENTRY_PORT, "POST", "/moule/" + id,
            Cluster.clientHeaders(), body, 3_000);
        cluster.log("POST of job %s: %s", id, accepted.summary());
        Cluster.require(accepted.isSuccess(), "the job was not accepted");
        while (history.isEmpty()) Thread.sleep(20);
        Minion leaving = history.get(0).minion;
        Thread.sleep(2_000);

        leaving.drain();
        Thread.sleep(DRAIN_MILLIS + 500);
        if (trouble) {
            // The cut begins as the announcement has left: it arrives, but its acknowledgement does not.
            leaving.cutOff(true);
            leaving.sendDelete();
            // Without an acknowledgement the minion ends some seconds later.
            Thread.sleep(END_AFTER_MILLIS);
            leaving.end();
            Thread.sleep(CUT_MILLIS - END_AFTER_MILLIS);
        } else {
            leaving.sendDelete();
            leaving.end();
        }
        Thread.sleep(10_000);
        return !overlap(cluster, history);
    }

    /** Returns whether two runs of one task were at work at the same time on minions that were up. */
    private static boolean overlap(Cluster cluster, List<Minion.Start> history) {
        boolean found = false;
        for (int i = 0; i < history.size(); i++) {
            for (int j = i + 1; j < history.size(); j++) {
                Minion.Start first = history.get(i);
                Minion.Start second = history.get(j);
                long fromMillis = Math.max(first.atMillis, second.atMillis);
                long toMillis = Math.min(first.endMillis, second.endMillis);
                if (first.task.equals(second.task) && fromMillis < toMillis) {
                    cluster.log("%s and %s ran at the same time for %d ms", first, second, toMillis - fromMillis);
                    found = true;
                }
            }
        }
        return found;
    }
}

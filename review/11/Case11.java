import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A job whose minion goes down and up by turns must not be shown as failed: no run of it has ended as failed. */
public final class Case11 {
    private static final int MINIONS = 10;
    private static final long FLAP_MILLIS = 6_500;
    private static final long PERIOD_MILLIS = 1_400;

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
        String body = Json.write(Json.map("spec", "ms=8000", "steps", List.of(
            Json.map("count", 1, "cpu", 52000, "memoryRequestMb", 270000, "gpus", 4, "estimatedMs", 8000))));
        Http.Answer accepted = call(cluster, "POST", id, body);
        cluster.log("POST of job %s: %s", id, accepted.summary());
        Cluster.require(accepted.isSuccess(), "the job was not accepted");
        while (history.isEmpty()) Thread.sleep(20);
        Minion first = history.get(0).minion;

        if (trouble) Cluster.daemon("flap", () -> flap(cluster, first));
        String state = "";
        long untilMillis = cluster.millis() + 60_000;
        while (cluster.millis() < untilMillis && !List.of("succeeded", "failed", "canceled").contains(state)) {
            Thread.sleep(250);
            Http.Answer answer = call(cluster, "GET", id, null);
            String next = String.valueOf(Json.object(answer.body()).get("state"));
            if (answer.isSuccess() && !next.equals(state)) {
                state = next;
                cluster.log("GET of job %s: %s", id, answer.summary());
            }
        }
        long failedEnds = history.stream().filter(start -> start.how.equals("failed")).count();
        cluster.log("the job is shown as %s after %d starts, of which %d ended as failed", state, history.size(),
            failedEnds);
        return !state.equals("failed") && !state.equals("canceled");
    }

    /** Takes the minion down and up again, half of a period each, for the length of the disruption. */
    private static void flap(Cluster cluster, Minion minion) {
        try {
            Thread.sleep(300);
            long endMillis = cluster.millis() + FLAP_MILLIS;
            while (cluster.millis() < endMillis) {
                minion.crash();
                Thread.sleep(PERIOD_MILLIS / 2);
                minion.start();
                Thread.sleep(PERIOD_MILLIS / 2);
            }
        } catch (Exception e) {
            cluster.log("the minion could not go on: %s", e);
        }
    }

    private static Http.Answer call(Cluster cluster, String method, String id, String body) {
        return Http.once(cluster.entryIp(0), Cluster.ENTRY_PORT, method, "/moule/" + id, Cluster.clientHeaders(), body,
            3_000);
    }
}

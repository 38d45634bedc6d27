import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What was accepted must survive a planned replacement of two control hosts, one after the other. */
public final class Case10 {
    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long GRACE_MILLIS = 6_000;
    private static final long NEW_FIRST_MILLIS = 1_000;

    public static void main(String[] arguments) throws Exception {
        Cluster.play("review/10", Case10::run);
    }

    private static boolean run(Cluster cluster, boolean trouble) throws Exception {
        List<Map<String, Object>> routes = List.of(Cluster.route("r-moule", "/moule/", 1, 2));
        cluster.startAll(1, Cluster.state(7, routes));
        List<Minion.Start> history = Minion.newHistory();
        for (int i = 0; i < 8; i++) new Minion(cluster, i, history).start();
        Thread.sleep(6_000);
        String id = Cluster.newJobId();
        String body = Json.write(Json.map("spec", "ms=8000", "steps", List.of(
            Json.map("count", 1, "cpu", 52000, "memoryRequestMb", 270000, "gpus", 4, "estimatedMs", 8000),
            Json.map("count", 1, "cpu", 52000, "memoryRequestMb", 270000, "gpus", 4, "estimatedMs", 8000,
                "dependsOn", List.of(0)))));
        Http.Answer accepted = job(cluster, "POST", id, body);
        cluster.log("POST of job %s: %s", id, accepted.summary());
        Cluster.require(accepted.isSuccess(), "the job was not accepted");

        if (trouble) {
            replace(cluster, 3, "core-2");
            replace(cluster, 4, "core-1");
        } else {
            Thread.sleep(2 * CATCH_UP_MILLIS);
        }
        Thread.sleep(20_000);

        boolean readable = false;
        String state = "";
        long untilMillis = cluster.millis() + 30_000;
        while (cluster.millis() < untilMillis && !(readable && state.equals("succeeded"))) {
            for (Cluster.Node node : cluster.controls()) {
                if (!node.isAlive()) continue;
                Http.Answer answer =
                    Http.once(node.ip, Cluster.CONTROL_PORT, "GET", "/config", Map.of(), null, 3_000);
                cluster.log("GET /config at %s: %s", node.name, answer.status() == 200 ? "200" : answer.summary());
                readable = readable || answer.isSuccess();
            }
            Http.Answer answer = job(cluster, "GET", id, null);
            cluster.log("GET of job %s: %s", id, answer.summary());
            if (answer.isSuccess()) state = String.valueOf(Json.object(answer.body()).get("state"));
            Thread.sleep(2_000);
        }
        cluster.log("the desired state can be read: %s; the job is shown as: %s", readable, state);
        return readable && state.equals("succeeded");
    }

    /**
     * Starts the control host with number [newIndex], sends SIGTERM to the host [oldName], which is gone for good, and
     * waits until the new one has had the time after which no host counts as lost any more.
     */
    private static void replace(Cluster cluster, int newIndex, String oldName) throws Exception {
        long startMillis = cluster.millis();
        cluster.control(newIndex).start();
        Thread.sleep(NEW_FIRST_MILLIS);
        Cluster.Node old = cluster.node(oldName);
        old.signal("TERM");
        if (old.awaitEnd(GRACE_MILLIS)) cluster.log("%s has ended", oldName);
        else old.signal("KILL");
        Thread.sleep(Math.max(0, startMillis + CATCH_UP_MILLIS - cluster.millis()));
    }

    private static Http.Answer job(Cluster cluster, String method, String id, String body) {
        return Http.once(cluster.entryIp(0), Cluster.ENTRY_PORT, method, "/moule/" + id, Cluster.clientHeaders(), body,
            3_000);
    }
}

package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** The frame of a case: starts a deployment, runs the case and exits with its verdict. */
abstract class Case {
    static final String HOST = "jobs.example";
    static final String PREFIX = "/moule/";
    static final String KEY = "key-of-tenant-one-0001";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Recorder recorder;
    Deployment deployment;
    final List<Minion> minions = new ArrayList<>();

    /** The case could not run as it should. */
    static final class NotRun extends RuntimeException {
        NotRun(String message) {
            super(message);
        }
    }

    /** Returns what broke the rule, or null if it held. */
    abstract String run() throws Exception;

    int entryCount() {
        return 2;
    }

    /** Runs the case; the argument is its folder. */
    void main(String folder) throws Exception {
        recorder = new Recorder(Path.of(folder, "record.txt"));
        recorder.write("disruption: " + (trouble ? "yes" : "no"));
        int exit;
        try (Deployment started = new Deployment(recorder, entryCount())) {
            deployment = started;
            started.startAll();
            String broken = run();
            recorder.write(broken == null ? "the rule held" : "the rule was broken: " + broken);
            exit = broken == null ? 0 : 1;
        } catch (NotRun e) {
            recorder.write("the case could not run: " + e.getMessage());
            exit = 2;
        }
        System.exit(exit);
    }

    void require(boolean condition, String what) {
        if (!condition) throw new NotRun(what);
    }

    String route(String name, String prefix) {
        return route(name, prefix, 2);
    }

    String route(String name, String prefix, int maxAttempts) {
        return Json.text(Json.of("name", name, "host", HOST, "pathPrefix", prefix, "type", "unsafe", "timeoutMs", 3000,
            "targetLatencyMs", 1200, "priority", 1, "service", "atelier", "maxAttempts", maxAttempts, "stretch", 3.0,
            "public", false));
    }

    String config(long version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],"
            + "\"services\":[{\"name\":\"atelier\",\"healthCheckPath\":\"/health\",\"maxConnections\":64,"
            + "\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
            + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"" + KEY + "\"],"
            + "\"priority\":1,\"guaranteed\":{\"gpus\":8}}]}";
    }

    void startMinions(int count, long gpus) throws Exception {
        for (int i = 0; i < count; i++) {
            Minion minion = newMinion(i, gpus);
            minions.add(minion);
            minion.start();
        }
    }

    Minion newMinion(int i, long gpus) {
        return new Minion("i-" + String.format("%08x", 0x1000 + i), "atelier", Deployment.ZONES.get(i % 3),
            deployment.minionIp(i), deployment.port, gpus, List.of("a", "r1-" + i / 8), deployment.control, recorder);
    }

    String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    String job(int count, int gpus, long workMillis, String more) {
        return "{\"spec\":\"work=" + workMillis + " gpus=" + gpus + "\",\"steps\":[{\"count\":" + count
            + ",\"cpu\":1000,\"memoryRequestMb\":1024,\"gpus\":" + gpus + ",\"estimatedMs\":" + workMillis + more
            + "}]}";
    }

    String state(int entry, String path) {
        Http.Response response = deployment.client(entry, "GET", HOST, path, KEY, "");
        return response.status() == 200 ? (String) Json.object(response.body()).get("state") : "" + response.status();
    }
}

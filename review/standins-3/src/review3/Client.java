package review3;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A client of one tenant, and the desired state that it works with. */
final class Client {
    static final String SERVICE = "atelier";
    static final String HOST = "jobs.example";
    static final String PREFIX = "/moule/";
    static final String KEY = "d4a3hwrr6x73d3zji9n7";
    private final Journal journal;
    private final List<String> entries;

    Client(Journal journal, List<String> entries) {
        this.journal = journal;
        this.entries = entries;
    }

    static String desiredState(long version, int priority, int maxAttempts) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-moule\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"" + PREFIX + "\",\"type\":\"unsafe\",\"timeoutMs\":3000,"
                + "\"targetLatencyMs\":1200,\"priority\":" + priority + ",\"service\":\"" + SERVICE
                + "\",\"maxAttempts\":" + maxAttempts + ",\"stretch\":3.0,\"public\":false}],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"healthCheckPath\":\"/health\",\"maxConnections\":64,"
                + "\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"" + KEY
                + "\"],\"priority\":1,\"guaranteed\":{\"gpus\":0}}]}";
    }

    /** Hands a job in until it is accepted; the same call goes to the next entry host after no clear response. */
    void submit(String id, String job) {
        for (int attempt = 0; attempt < 20; attempt++) {
            Http.Response response = call(attempt, "POST", id, job);
            if (response.isSuccess()) return;
            Minion.sleep(300);
        }
        throw new IllegalStateException("the job " + id + " was not accepted");
    }

    /** Returns the state of a job as the system shows it, or the status of the response if that shows none. */
    String state(int entry, String id) {
        Http.Response response = call(entry, "GET", id, "");
        return response.status() == 200 ? "" + Json.object(response.body()).get("state") : "" + response.status();
    }

    Http.Response call(int entry, String method, String id, String body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Api-Key", KEY);
        headers.put("Deadline-Ms", "3000");
        String address = entries.get(entry % entries.size());
        Http.Response response = Http.call(address, method, PREFIX + id, headers, body, 3_000);
        journal.add("client: " + method + " " + PREFIX + id + " at " + address + " -> " + response.status() + " "
                + response.body());
        return response;
    }
}

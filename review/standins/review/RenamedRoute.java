package review;

/** A desired state replaces a route by one with another name at the same place; its accepted jobs must stay known. */
public final class RenamedRoute extends Case {
    static final long VISIBLE_MILLIS = 3_000;
    static final long CONFIG_APPLY_MILLIS = 2_500;
    static final long CONTACT_MILLIS = 4_000;

    public static void main(String[] arguments) throws Exception {
        new RenamedRoute().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(3, route("r-ce7ejsm", PREFIX)), 0, 20_000).ok(), "no desired state");
        startMinions(4, 8);
        Minion.pause(2_500);
        String path = PREFIX + newId();
        require(deployment.submit(HOST, path, KEY, job(1, 8, 20_000, ""), 5_000), "the job was not accepted");
        Minion.pause(VISIBLE_MILLIS + 500);
        require(state(0, path).equals("running"), "the job does not run");
        String next = trouble ? route("r-3ajwyy7", PREFIX) : route("r-ce7ejsm", PREFIX).replace("3000,", "2900,");
        require(deployment.putConfig(config(8, next), 1, 20_000).ok(), "the change was not acknowledged");
        Minion.pause(CONFIG_APPLY_MILLIS + CONTACT_MILLIS);
        String broken = null;
        for (int entry = 0; entry < 2; entry++) {
            if (state(entry, path).equals("410")) broken = "LOST: the accepted job is answered with 410";
        }
        Http.Response cancelled = deployment.client(0, "DELETE", HOST, path, KEY, "");
        Minion.pause(4_000);
        boolean runs = minions.stream().anyMatch(it -> it.runs(path.substring(PREFIX.length())));
        recorder.write("the cancel was answered with " + cancelled.status() + "; the task "
            + (runs ? "still runs" : "runs no more"));
        return broken;
    }
}

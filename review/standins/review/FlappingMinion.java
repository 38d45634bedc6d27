package review;

/** A minion goes down and up by turns under one task; the task's job must not be shown as failed. */
public final class FlappingMinion extends Case {
    static final long PERIOD_MILLIS = 1_400;
    static final long FLAPS_FOR_MILLIS = 6_500;

    public static void main(String[] arguments) throws Exception {
        new FlappingMinion().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(1, route("r-1", PREFIX)), 0, 20_000).ok(), "no desired state");
        startMinions(10, 8);
        Minion.pause(2_500);
        // Nine of the ten minions are busy with long tasks, as under load.
        for (int i = 0; i < 9; i++) {
            require(deployment.submit(HOST, PREFIX + newId(), KEY, job(1, 8, 45_000, ""), 5_000), "no long job");
        }
        Minion.pause(1_500);
        String id = newId();
        String path = PREFIX + id;
        require(deployment.submit(HOST, path, KEY, job(1, 8, 6_000, ""), 5_000), "the job was not accepted");
        Minion.pause(1_500);
        Minion host = minions.stream().filter(it -> it.runs(id)).findFirst().orElse(null);
        require(host != null, "the job does not run");
        if (trouble) {
            long endMillis = recorder.millis() + FLAPS_FOR_MILLIS;
            while (recorder.millis() < endMillis) {
                host.crash();
                Minion.pause(PERIOD_MILLIS / 2);
                host.start();
                Minion.pause(PERIOD_MILLIS / 2);
            }
        }
        long endMillis = recorder.millis() + 25_000;
        String state = "";
        while (recorder.millis() < endMillis && !state.equals("succeeded")) {
            state = state(0, path);
            if (state.equals("failed")) return "LOST: the job is shown as failed, and none of its runs ended failed";
            if (state.equals("410")) return "LOST: the accepted job is answered with 410";
            Minion.pause(500);
        }
        return state.equals("succeeded") ? null : "LOST: the job has not ended after 25 s, state " + state;
    }
}

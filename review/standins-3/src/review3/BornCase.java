package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The time of day of a minion's machine jumps ahead and back while the minion goes down and up by turns, so that its
 * last life has an earlier time of birth than the one before. After that, a job comes that only this minion may run.
 *
 * The rule is broken if nothing of the job runs for 3 s, 14 s after it was accepted, although the minion is up and
 * idle.
 */
final class BornCase {
    private static final String JOB = "9f3b7a21d94b36f8";
    private static final int MINIONS = 10;
    private static final long STEP_MILLIS = 2_400;
    private static final long STEP_LASTS_MILLIS = 6_000;
    private static final long GAP_MILLIS = 1_100;
    private static final long FLAP_MILLIS = 6_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long IDLE_MILLIS = 3_000;

    public static void main(String[] args) {
        Case.run(args[0], BornCase::play);
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(journal, 18, 3, 2, Bounds.SETTINGS)) {
            deployment.start();
            deployment.publish(Client.desiredState(1, 1, 2));
            deployment.awaitReady();
            int port = Net.freePorts(List.of("127.42.18.100"), MINIONS);
            AtomicInteger starts = new AtomicInteger();
            List<Minion> minions = new ArrayList<>();
            Minion.Work work = new Minion.Work() {
                @Override
                public long workMillis(String task) {
                    return 2_500;
                }

                @Override
                public long gpus(String task) {
                    return Case.BROKEN;
                }
            };
            for (int index = 0; index < MINIONS; index++) {
                String address = "127.42.18.100:" + (port + index);
                String kind = index == 0 ? "b" : "a";
                minions.add(new Minion("i-" + index, address, kind, 8, deployment.controls, journal, work) {
                    @Override
                    void onStart(Run run) {
                        starts.incrementAndGet();
                    }
                });
            }
            for (Minion minion : minions) minion.start();
            Thread.sleep(4_000);
            if (trouble) flap(journal, minions.get(0), !"0".equals(System.getenv("CLOCK")));
            Thread.sleep(2_000);
            Client client = new Client(journal, deployment.entries);
            client.submit(JOB, "{\"spec\":\"tint\",\"steps\":[{\"count\":1,\"cpu\":15000,\"memoryRequestMb\":61000,"
                    + "\"gpus\":1,\"estimatedMs\":2500,\"constraints\":\"b\"}]}");
            return watch(journal, client, starts);
        }
    }

    /** The clock steps ahead 2 s before the minion goes down for the first time, and back 6 s later. */
    private static void flap(Journal journal, Minion minion, boolean clock) throws Exception {
        if (clock) step(journal, minion, STEP_MILLIS);
        Thread.sleep(STEP_LASTS_MILLIS / 3);
        long startMillis = journal.millis();
        long backMillis = startMillis + STEP_LASTS_MILLIS * 2 / 3;
        boolean stepped = !clock;
        while (journal.millis() - startMillis < FLAP_MILLIS) {
            minion.crash();
            stepped = pause(journal, minion, backMillis, stepped);
            minion.start();
            stepped = pause(journal, minion, backMillis, stepped);
        }
    }

    private static boolean pause(Journal journal, Minion minion, long backMillis, boolean stepped) {
        long endMillis = journal.millis() + GAP_MILLIS;
        boolean done = stepped;
        while (journal.millis() < endMillis) {
            if (!done && journal.millis() >= backMillis) {
                step(journal, minion, 0);
                done = true;
            }
            Minion.sleep(5);
        }
        return done;
    }

    private static void step(Journal journal, Minion minion, long offsetMillis) {
        journal.add("the time of day of the machine of " + minion.id + " jumps to " + offsetMillis + " ms ahead");
        minion.timeOfDayOffsetMillis = offsetMillis;
    }

    private static int watch(Journal journal, Client client, AtomicInteger starts) {
        long endMillis = journal.millis() + FINISH_MILLIS + IDLE_MILLIS;
        for (int turn = 0; journal.millis() < endMillis; turn++) {
            if (client.state(turn, JOB).equals("succeeded")) return Case.HELD;
            Minion.sleep(1_000);
        }
        String state = client.state(0, JOB);
        if (starts.get() > 0) return Case.HELD;
        journal.add("LOST: nothing of the job has run, its minion is up and idle; shown as " + state);
        return Case.BROKEN;
    }
}

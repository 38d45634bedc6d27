package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One of ten minions goes down and up by turns while a job that only it may run is at work there.
 *
 * The rule is broken if the job is shown as failed, or not at all, although no run of it has ended as failed.
 */
final class FlapCase {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int MINIONS = 10;
    private static final long WORK_MILLIS = 8_500;
    private static final long FLAP_MILLIS = 6_500;
    private static final long GAP_MILLIS = 1_400;
    private static final long WATCH_MILLIS = 40_000;

    /** More than the runs that are lost, so that the job may not fail even if a lost run counted as an attempt. */
    private static final int MAX_ATTEMPTS = 4;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Journal journal = new Journal(Path.of(args[0], "record.txt"))) {
            int verdict;
            try {
                verdict = play(journal, trouble);
            } catch (Exception e) {
                journal.add("the case could not run: " + e);
                verdict = 2;
            }
            journal.add("verdict " + verdict);
            System.exit(verdict);
        }
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(journal, 15, 3, 2, Bounds.SETTINGS)) {
            deployment.start();
            deployment.publish(Client.desiredState(1, 1, MAX_ATTEMPTS));
            deployment.awaitReady();
            int port = Net.freePorts(List.of("127.42.15.100"), MINIONS);
            List<Minion> minions = new ArrayList<>();
            Minion.Work work = new Minion.Work() {
                @Override
                public long workMillis(String task) {
                    return WORK_MILLIS;
                }

                @Override
                public long gpus(String task) {
                    return 8;
                }
            };
            for (int index = 0; index < MINIONS; index++) {
                String address = "127.42.15.100:" + (port + index);
                String kind = index == 0 ? "b" : "a";
                minions.add(new Minion("i-" + index, address, kind, 8, deployment.controls, journal, work));
            }
            for (Minion minion : minions) minion.start();
            Thread.sleep(4_000);
            Client client = new Client(journal, deployment.entries);
            client.submit(JOB, "{\"spec\":\"pour\",\"steps\":[{\"count\":1,\"cpu\":52000,\"memoryRequestMb\":270000,"
                    + "\"gpus\":8,\"estimatedMs\":8500,\"constraints\":\"b\"}]}");
            Thread.sleep(2_000);
            if (trouble) flap(minions.get(0));
            return watch(journal, client);
        }
    }

    private static void flap(Minion minion) throws Exception {
        long endNanos = System.nanoTime() + FLAP_MILLIS * 1_000_000;
        while (System.nanoTime() < endNanos) {
            minion.crash();
            Thread.sleep(GAP_MILLIS);
            minion.start();
            Thread.sleep(GAP_MILLIS);
        }
    }

    private static int watch(Journal journal, Client client) {
        long endMillis = journal.millis() + WATCH_MILLIS;
        for (int turn = 0; journal.millis() < endMillis; turn++) {
            String state = client.state(turn, JOB);
            if (state.equals("succeeded")) return 0;
            if (state.equals("failed") || state.equals("canceled") || state.equals("410")) {
                journal.add("LOST: the job is shown as " + state + ", and no run of it has ended failed");
                return 1;
            }
            Minion.sleep(1_000);
        }
        journal.add("the job did not end in the time of this case");
        return 0;
    }
}

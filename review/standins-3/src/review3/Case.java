package review3;

import java.nio.file.Path;

/** Plays a case and ends with a code that no failure of the virtual machine has: 10 if the rule was broken. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final int BROKEN_CODE = 10;

    /** Returns whether the rule was {@link #HELD} or {@link #BROKEN}; {@code trouble} is false without the disruption. */
    interface Play {
        int play(Journal journal, boolean trouble) throws Exception;
    }

    private Case() {
    }

    static void run(String folder, Play play) {
        int verdict = NOT_RUN;
        try (Journal journal = new Journal(Path.of(folder, "record.txt"))) {
            try {
                verdict = play.play(journal, !"0".equals(System.getenv("TROUBLE")));
            } catch (Exception e) {
                journal.add("the case could not run: " + e);
            }
            journal.add("verdict " + verdict);
        } catch (Exception e) {
            System.err.println("the record can't be written: " + e);
            verdict = NOT_RUN;
        }
        System.exit(verdict == BROKEN ? BROKEN_CODE : verdict);
    }
}

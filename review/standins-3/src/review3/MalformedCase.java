package review3;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Two of three control hosts get one message each, at the port for communication between nodes, that is cut short in
 * the middle of a text. This is done three times, and an ended process is started again.
 *
 * The rule is broken if the processes of half of the core end by themselves three times.
 */
final class MalformedCase {
    private static final List<String> TARGETS = List.of("core-1", "core-2");
    private static final int ROUNDS = 3;
    private static final long RESTART_MILLIS = 1_000;
    private static final long ROUND_MILLIS = 8_000;

    public static void main(String[] args) {
        Case.run(args[0], MalformedCase::play);
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(journal, 16, 3, 2, Bounds.SETTINGS)) {
            deployment.start();
            deployment.publish(Client.desiredState(1, 1, 2));
            deployment.awaitReady();
            Client client = new Client(journal, deployment.entries);
            Map<String, Integer> ends = new LinkedHashMap<>();
            for (int round = 0; round < ROUNDS; round++) {
                for (String name : TARGETS) {
                    if (trouble) send(journal, deployment, name);
                }
                restartEnded(journal, deployment, ends);
                client.state(round, "5c0e7a21d94b36f8");
            }
            long often = ends.values().stream().filter(count -> count >= ROUNDS).count();
            journal.add("ends of processes by themselves: " + ends);
            if (often < TARGETS.size()) return Case.HELD;
            journal.add("Fault: on half of the core, processes ended by themselves " + ROUNDS + " times");
            return Case.BROKEN;
        }
    }

    /** Acts as the platform: notices ended processes and starts them again. */
    private static void restartEnded(Journal journal, Deployment deployment, Map<String, Integer> ends)
            throws IOException {
        long endMillis = journal.millis() + ROUND_MILLIS;
        while (journal.millis() < endMillis) {
            for (String name : deployment.peerPorts.keySet()) {
                if (deployment.isAlive(name)) continue;
                journal.add("process " + name + " has ended by itself");
                ends.merge(name, 1, Integer::sum);
                Minion.sleep(RESTART_MILLIS);
                deployment.start(name);
            }
            Minion.sleep(100);
        }
    }

    private static void send(Journal journal, Deployment deployment, String name) throws IOException {
        String ip = deployment.controls.get(Integer.parseInt(name.substring(5)) - 1).split(":")[0];
        byte[] message = message();
        try (Socket socket = new Socket()) {
            socket.connect(Net.address(ip + ":" + deployment.peerPorts.get(name)), 2_000);
            new DataOutputStream(socket.getOutputStream()).write(message);
            socket.setSoTimeout(2_000);
            int read = socket.getInputStream().read();
            journal.add(name + " gets a message of " + message.length + " bytes and answers "
                    + (read < 0 ? "by closing" : "something"));
        }
    }

    /** The first message of a link, a frame with its length in front, that ends within the name of the sender. */
    private static byte[] message() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(0xbf);
        text(body, "protocolVersion");
        body.write(0x01);
        text(body, "from");
        text(body, "127.42.16.9");
        byte[] whole = body.toByteArray();
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(frame);
        out.writeInt(whole.length - 3);
        out.write(whole, 0, whole.length - 3);
        return frame.toByteArray();
    }

    private static void text(ByteArrayOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(0x60 + bytes.length);
        out.write(bytes);
    }
}

package review3;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Starts control hosts and entry hosts as separate processes, with the commands of the deploy file and the bounds of a
 * deployment, and ends them.
 */
final class Deployment implements AutoCloseable {
    private final Journal journal;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review-3-");
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Path> settings = new LinkedHashMap<>();
    final List<String> controls = new ArrayList<>();
    final List<String> entries = new ArrayList<>();
    final List<String> readiness = new ArrayList<>();
    final Map<String, Integer> peerPorts = new LinkedHashMap<>();

    /** {@code subnet} is the third number of the loopback addresses; {@code bounds} are written as they are. */
    Deployment(Journal journal, int subnet, int controlCount, int entryCount, String bounds) throws IOException {
        this.journal = journal;
        List<String> ips = new ArrayList<>();
        for (int host = 1; host <= controlCount + entryCount; host++) ips.add("127.42." + subnet + "." + host);
        int first = Net.freePorts(ips, 8);
        for (String ip : ips.subList(0, controlCount)) controls.add(ip + ":" + (first + 2));
        for (String ip : ips.subList(controlCount, ips.size())) {
            entries.add(ip + ":" + (first + 2));
            readiness.add(ip + ":" + (first + 3));
        }
        for (int index = 0; index < ips.size(); index++) {
            boolean control = index < controlCount;
            String ip = ips.get(index);
            String name = control ? "core-" + (index + 1) : "edge-" + (index + 1 - controlCount);
            peerPorts.put(name, first);
            Path data = folder.resolve(name);
            if (control) Files.createDirectories(data);
            String binds = control
                    ? "\"controlPlane\":\"" + ip + ":" + (first + 2) + "\""
                    : "\"frontend\":\"" + ip + ":" + (first + 2) + "\",\"readiness\":\"" + ip + ":" + (first + 3) + "\"";
            String text = "{\"nodeName\":\"" + name + "\",\"role\":\"" + (control ? "control" : "entry") + "\","
                    + "\"machineClass\":\"" + (control ? "core" : "edge") + "\",\"ip\":\"" + ip + "\","
                    + "\"serves\":[\"" + (control ? "control" : "edge") + "\"],"
                    + "\"zone\":\"" + Bounds.ZONES.get(index % 3) + "\",\"region\":\"r" + index % 3 + "\","
                    + "\"zones\":{\"zone-a\":\"r0\",\"zone-b\":\"r1\",\"zone-c\":\"r2\"},"
                    + "\"bindAddresses\":{" + binds + "},\"internalPorts\":[" + first + "," + (first + 1) + "],"
                    + "\"seedNodes\":" + Json.write(controls) + ",\"bootstrap\":true,"
                    + "\"countsAsLoss\":" + control + ",\"dataDir\":" + (control ? "\"" + data + "\"" : "null") + ","
                    + "\"discovery\":\"registry\",\"entrypoint\":\"vip\",\"heartbeatMs\":" + Bounds.HEARTBEAT_MILLIS + ","
                    + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\"],"
                    + "\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
                    + "\"bounds\":" + bounds + ",\"config_mode\":\"highest\",\"orders\":\"invocation\"}";
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, text);
            settings.put(name, file);
        }
    }

    /** Starts all processes, as the first start of the system. */
    void start() throws IOException {
        // Without this hook, the processes would outlive a terminated case.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (String name : settings.keySet()) start(name);
    }

    /** Tells later starts that the system has started before. */
    private void clearBootstrap() throws IOException {
        for (Path file : settings.values()) {
            Files.writeString(file, Files.readString(file).replace("\"bootstrap\":true", "\"bootstrap\":false"));
        }
    }

    synchronized void start(String name) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(name.startsWith("core") ? "control" : "entry"));
        builder.directory(root.toFile());
        builder.environment().put("AUBURNLEVER_SETTINGS", settings.get(name).toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(name, builder.start());
        journal.add("process " + name + " started");
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** Publishes a desired state and waits until it is acknowledged. */
    void publish(String document) throws IOException, InterruptedException {
        for (int attempt = 0; attempt < 150; attempt++) {
            String address = controls.get(attempt % controls.size());
            Http.Response response = Http.call(address, "PUT", "/config", Map.of(), document, 3_000);
            if (response.isSuccess()) {
                journal.add("operator: the desired state is acknowledged by " + address);
                clearBootstrap();
                return;
            }
            Thread.sleep(200);
        }
        throw new IllegalStateException("the desired state was not acknowledged");
    }

    void awaitReady() throws InterruptedException {
        for (int attempt = 0; attempt < 150; attempt++) {
            boolean ready = true;
            for (String address : readiness) {
                ready &= Http.call(address, "GET", "/readiness", Map.of(), "", 1_000).status() == 200;
            }
            if (ready) return;
            Thread.sleep(200);
        }
        throw new IllegalStateException("the entry hosts did not become ready");
    }

    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.equals("[roles." + role + "]");
            if (inRole && line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IllegalStateException("the deploy file has no role " + role);
    }

    @Override
    public synchronized void close() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone already.
        }
    }
}

package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in of a minion, with its pings, orders, leases and lists of runs.
 *
 * A task works for the time that its spec names as "work=MILLIS", and ends with "done", or "failed" with "fail=1".
 */
class Minion {
    /** A run that is active here. */
    static final class Active {
        final String task;
        final long run;
        final long startNanos = System.nanoTime();
        final long workMillis;
        final boolean fails;
        final long gpus;
        boolean stopping;
        long stopNanos;

        Active(String task, long run, long workMillis, boolean fails, long gpus) {
            this.task = task;
            this.run = run;
            this.workMillis = workMillis;
            this.fails = fails;
            this.gpus = gpus;
        }

        long percent() {
            return Math.min(100, (System.nanoTime() - startNanos) / 1_000_000L * 100 / Math.max(1, workMillis));
        }
    }

    static final long MAX_HOLD_MILLIS = 10_000;
    static final long STOP_MILLIS = 100;

    final String id;
    final String service;
    final String zone;
    final String ip;
    final int port;
    final long gpus;
    final List<String> labels;
    final List<String> control;
    final Recorder recorder;

    // One life of the minion; a crash discards all of it.
    private HttpServer server;
    private ExecutorService executor;
    private boolean up;
    private long bornMillis;
    private long bornNanos;
    private long sequence;
    private long fence;
    private long leaseMillis;
    private long lastEnd;
    private boolean draining;
    private String heartbeatAddress;
    private final Map<String, Active> active = new LinkedHashMap<>();
    private final Map<String, Long> floor = new HashMap<>();
    private final TreeMap<Long, List<Object>> ended = new TreeMap<>();

    Minion(String id, String service, String zone, String ip, int port, long gpus, List<String> labels,
           List<String> control, Recorder recorder) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.ip = ip;
        this.port = port;
        this.gpus = gpus;
        this.labels = labels;
        this.control = control;
        this.recorder = recorder;
        Thread ticker = new Thread(this::tickForever, "minion-" + id);
        ticker.setDaemon(true);
        ticker.start();
        Thread pinger = new Thread(this::pingForever, "pings-" + id);
        pinger.setDaemon(true);
        pinger.start();
    }

    /** Starts a new life under the same id and address. */
    synchronized void start() throws IOException {
        if (up) return;
        server = HttpServer.create(new InetSocketAddress(ip, serverPort()), 64);
        executor = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
        bornMillis = Math.max(System.currentTimeMillis(), bornMillis + 1);
        bornNanos = System.nanoTime();
        sequence = 0;
        fence = 0;
        leaseMillis = 0;
        lastEnd = 0;
        draining = false;
        heartbeatAddress = null;
        up = true;
        recorder.write("minion " + id + " starts, born " + bornMillis);
        notifyAll();
    }

    /** Ends this life without a word; everything that runs here is gone. */
    synchronized void crash() {
        if (!up) return;
        up = false;
        recorder.write("minion " + id + " crashes with " + names());
        active.clear();
        floor.clear();
        ended.clear();
        server.stop(0);
        executor.shutdownNow();
        notifyAll();
    }

    synchronized boolean runs(String taskPrefix) {
        return active.keySet().stream().anyMatch(it -> it.startsWith(taskPrefix));
    }

    synchronized int activeCount() {
        return active.size();
    }

    synchronized long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000L;
    }

    /** Called when a run begins here; for subclasses. */
    void onBegin(String task, long run) {
    }

    /** Called when an end that was listed is taken note of; for subclasses. */
    void onAcknowledged(String task, long run, String how) {
    }

    /** The port that the server listens on; another one than the reported one if a proxy stands before it. */
    int serverPort() {
        return port;
    }

    /** Whether the minion answers starts with 503 and does nothing for them, while its pings go on. */
    volatile boolean unhealthy;

    private String names() {
        List<String> names = new ArrayList<>();
        active.values().forEach(it -> names.add(it.task + "#" + it.run));
        return names.toString();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String target = exchange.getRequestHeaders().getFirst("Target-Instance");
        Map<String, Object> answer;
        int status = 200;
        synchronized (this) {
            if (!up) return;
            if (path.equals("/health")) {
                answer = Json.of();
            } else if (target != null && !target.equals(id)) {
                status = 421;
                answer = Json.of();
            } else if (unhealthy && path.equals("/run-start")) {
                status = 503;
                answer = Json.of();
                recorder.write("minion " + id + " is unhealthy and answers 503 to the start of "
                    + Json.object(body).get("task"));
            } else {
                Map<String, Object> order = Json.object(body);
                String refusal = switch (path) {
                    case "/run-start" -> startRun(order);
                    case "/run-stop" -> stopRun(order);
                    case "/hold" -> hold(order);
                    default -> number(order, "fencingToken") < fence ? "fence" : null;
                };
                status = refusal == null ? 200 : 409;
                answer = Json.of("clockMs", clock());
                if (refusal != null) answer.put("reason", refusal);
                if (path.equals("/hold") && refusal == null) addLists(answer);
            }
            if (!up) return;
        }
        byte[] bytes = Json.text(answer).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private String startRun(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = number(order, "run");
        if (number(order, "fencingToken") < fence) return refused(task, run, "fence");
        fence = number(order, "fencingToken");
        long deadline = number(order, "deadlineMs");
        if (deadline <= clock()) return refused(task, run, "late");
        extendLease(deadline);
        Active known = active.get(task);
        if (known != null && known.run == run) return null;
        if (known != null || run <= floor.getOrDefault(task, 0L)) return refused(task, run, "old");
        String spec = (String) order.get("spec");
        long needed = field(spec, "gpus", 1);
        long used = active.values().stream().mapToLong(it -> it.gpus).sum();
        if (used + needed > gpus) return refused(task, run, "room");
        active.put(task, new Active(task, run, field(spec, "work", 1000), field(spec, "fail", 0) > 0, needed));
        recorder.write("minion " + id + " begins " + task + "#" + run);
        onBegin(task, run);
        return null;
    }

    private String refused(String task, long run, String reason) {
        recorder.write("minion " + id + " refuses " + task + "#" + run + ": " + reason);
        return reason;
    }

    private String stopRun(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = number(order, "run");
        if (number(order, "fencingToken") < fence) return "fence";
        fence = number(order, "fencingToken");
        floor.merge(task, run, Math::max);
        Active known = active.get(task);
        if (known != null && known.run == run && !known.stopping) {
            known.stopping = true;
            known.stopNanos = System.nanoTime();
        }
        recorder.write("minion " + id + " is told to stop " + task + "#" + run);
        return null;
    }

    private String hold(Map<String, Object> order) {
        if (number(order, "fencingToken") < fence) return "fence";
        fence = number(order, "fencingToken");
        if (order.get("deadlineMs") != null) extendLease(number(order, "deadlineMs"));
        Map<Long, List<Object>> acknowledged = ended.headMap(number(order, "ackedThrough"), true);
        acknowledged.values().forEach(it -> {
            recorder.write("minion " + id + " forgets the end of " + it.get(1) + "#" + it.get(2) + ": " + it.get(3));
            onAcknowledged((String) it.get(1), (Long) it.get(2), (String) it.get(3));
        });
        acknowledged.clear();
        long life = bornMillis;
        long waitMillis = order.get("waitMs") == null ? 0 : Math.min(2000, number(order, "waitMs"));
        long untilNanos = System.nanoTime() + waitMillis * 1_000_000L;
        while (up && life == bornMillis && ended.isEmpty() && System.nanoTime() < untilNanos) {
            try {
                wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000L));
            } catch (InterruptedException e) {
                return null;
            }
        }
        return null;
    }

    private void addLists(Map<String, Object> answer) {
        List<Object> rows = new ArrayList<>();
        for (Active it : active.values()) {
            if (!it.stopping) rows.add(List.of(it.task, it.run, "", it.percent(), 0));
        }
        List<Object> ends = new ArrayList<>();
        ended.values().stream().limit(500).forEach(ends::add);
        answer.put("born", bornMillis);
        answer.put("active", rows);
        answer.put("ended", ends);
    }

    private void extendLease(long deadlineMillis) {
        leaseMillis = Math.max(leaseMillis, Math.min(deadlineMillis, clock() + MAX_HOLD_MILLIS));
    }

    private void tickForever() {
        while (true) {
            pause(10);
            synchronized (this) {
                if (!up) continue;
                for (Active it : new ArrayList<>(active.values())) {
                    if (clock() >= leaseMillis) {
                        end(it, "lapsed");
                    } else if (it.stopping && System.nanoTime() - it.stopNanos >= STOP_MILLIS * 1_000_000L) {
                        end(it, "stopped");
                    } else if (!it.stopping && it.percent() >= 100) {
                        end(it, it.fails ? "failed" : "done");
                    }
                }
            }
        }
    }

    private void end(Active run, String how) {
        active.remove(run.task);
        floor.merge(run.task, run.run, Math::max);
        lastEnd++;
        ended.put(lastEnd, List.of(lastEnd, run.task, run.run, how, ""));
        recorder.write("minion " + id + " ends " + run.task + "#" + run.run + ": " + how);
        notifyAll();
    }

    private void pingForever() {
        int next = Math.floorMod(id.hashCode(), control.size());
        while (true) {
            String body;
            String address;
            synchronized (this) {
                while (!up) {
                    try {
                        wait();
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                sequence++;
                body = Json.text(Json.of("service", service, "address", ip + ":" + port, "zone", zone, "version", "v1",
                    "slots", 8, "state", draining ? "draining" : "ready", "coldRemainingMs", 0,
                    "capacity", Json.of("cpu", 128_000, "memoryRequestMb", 524_288, "gpus", gpus),
                    "labels", labels, "clockMs", clock(), "sequence", sequence, "born", bornMillis));
                address = heartbeatAddress != null ? heartbeatAddress : control.get(next);
            }
            Http.Response response = Http.send(address, "PUT", "/instances/" + id, body, 1000);
            synchronized (this) {
                if (response.ok()) {
                    Object named = Json.object(response.body()).get("heartbeatAddress");
                    if (named != null) heartbeatAddress = (String) named;
                    try {
                        long life = bornMillis;
                        long untilNanos = System.nanoTime() + 1_500_000_000L;
                        while (up && life == bornMillis && System.nanoTime() < untilNanos) wait(50);
                    } catch (InterruptedException e) {
                        return;
                    }
                } else {
                    heartbeatAddress = null;
                    next = (next + 1) % control.size();
                }
            }
            if (!response.ok()) pause(50);
        }
    }

    static long number(Map<String, Object> order, String name) {
        Object value = order.get(name);
        return value == null ? 0 : ((Number) value).longValue();
    }

    private static long field(String spec, String name, long otherwise) {
        for (String part : spec.split(" ")) {
            if (part.startsWith(name + "=")) return Long.parseLong(part.substring(name.length() + 1));
        }
        return otherwise;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

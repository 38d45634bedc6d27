package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A minion that follows the platform's protocol for running tasks and for service discovery.
 *
 * A crash closes its port and its connections and forgets everything; it starts again under its id and address.
 */
class Minion {
    /** Work of this length or more is that of a task that lasts. */
    private static final long LASTS_MILLIS = 1_000_000;

    /** A run that works on the minion. */
    static final class Run {
        final String task;
        final long run;
        final long startMillis;
        long endMillis;

        Run(String task, long run, long startMillis, long endMillis) {
            this.task = task;
            this.run = run;
            this.startMillis = startMillis;
            this.endMillis = endMillis;
        }
    }

    final String id;
    final String address;
    final String kind;
    private final List<String> controls;
    private final Journal journal;
    private final Work work;
    private final long gpus;

    private HttpServer server;
    private ExecutorService threads;
    private Thread pings;
    private Thread ticks;
    protected volatile boolean up;

    /** Time from the start of a life to its first ping. */
    volatile long firstPingMillis;

    /** How far the time of day of the minion's machine is ahead. */
    volatile long timeOfDayOffsetMillis;
    private long life;
    private long born;
    private long startNanos;
    private long sequence;
    private volatile String state = "ready";
    private long fence;
    private long leaseEndMillis;
    private long nextEnd;
    private final Map<String, Run> active = new LinkedHashMap<>();
    private final TreeMap<Long, List<Object>> ended = new TreeMap<>();
    private final Map<String, Long> highestRun = new LinkedHashMap<>();

    /** What a task does: how long it works and what it needs. */
    interface Work {
        long workMillis(String task);

        long gpus(String task);
    }

    Minion(String id, String address, String kind, long gpus, List<String> controls, Journal journal, Work work) {
        this.id = id;
        this.address = address;
        this.kind = kind;
        this.gpus = gpus;
        this.controls = controls;
        this.journal = journal;
        this.work = work;
    }

    /** Starts a new life, which knows nothing of earlier ones. */
    synchronized void start() throws IOException {
        life++;
        born = System.currentTimeMillis() + timeOfDayOffsetMillis;
        startNanos = System.nanoTime();
        sequence = 0;
        state = "ready";
        fence = 0;
        leaseEndMillis = 0;
        nextEnd = 1;
        active.clear();
        ended.clear();
        highestRun.clear();
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        server = HttpServer.create(Net.address(address), 64);
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
        up = true;
        long current = life;
        pings = daemon(() -> pingWhile(current));
        ticks = daemon(() -> tickWhile(current));
        journal.add("minion " + id + " is up, born " + born);
    }

    /** Crashes: nothing answers any more, and all that runs ends. */
    void crash() {
        synchronized (this) {
            up = false;
            life++;
            journal.add("minion " + id + " crashes with " + active.size() + " runs: " + active.keySet());
            active.clear();
            notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    long clockMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void pingWhile(long current) {
        sleep(firstPingMillis);
        int next = ThreadLocalRandom.current().nextInt(controls.size());
        String target = controls.get(next);
        while (life == current) {
            String body;
            synchronized (this) {
                sequence++;
                body = ping();
            }
            Http.Response response = Http.call(target, "PUT", "/instances/" + id, Map.of(), body, 1_000);
            if (response.isSuccess()) {
                Object named = response.body().startsWith("{") ? Json.object(response.body()).get("heartbeatAddress") : null;
                if (named != null) target = (String) named;
                sleep(Bounds.HEARTBEAT_MILLIS);
            } else {
                next = (next + 1) % controls.size();
                target = controls.get(next);
                sleep(50);
            }
        }
    }

    private String ping() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("service", Client.SERVICE);
        fields.put("address", address);
        fields.put("zone", Bounds.ZONES.get(Math.floorMod(id.hashCode(), 3)));
        fields.put("version", "v1");
        fields.put("slots", 8);
        fields.put("state", state);
        fields.put("coldRemainingMs", 0);
        fields.put("capacity", Map.of("cpu", 128_000, "memoryRequestMb", 524_288, "gpus", gpus));
        fields.put("labels", List.of(kind, "r1-" + Math.floorMod(id.hashCode(), 3)));
        fields.put("clockMs", clockMillis());
        fields.put("sequence", sequence);
        fields.put("born", born);
        return Json.write(fields);
    }

    private void tickWhile(long current) {
        while (life == current) {
            synchronized (this) {
                if (life == current) tick();
            }
            sleep(10);
        }
    }

    private void tick() {
        long now = clockMillis();
        for (Run run : new ArrayList<>(active.values())) {
            if (now >= leaseEndMillis) end(run, "lapsed");
            else if (now >= run.endMillis) end(run, "done");
        }
    }

    /** Ends all that runs here. */
    synchronized void endAll(String how) {
        for (Run run : new ArrayList<>(active.values())) end(run, how);
    }

    private void end(Run run, String how) {
        active.remove(run.task);
        highestRun.merge(run.task, run.run, Math::max);
        ended.put(nextEnd, List.of(nextEnd, run.task, run.run, how, ""));
        nextEnd++;
        journal.add("minion " + id + ": run " + run.run + " of " + run.task + " ends " + how);
        onEnd(run, how);
        notifyAll();
    }

    /** Returns for how long the network holds a start before it reaches the minion; 0 for an order that it passes on. */
    long heldMillis(String path, Map<String, Object> order) {
        return 0;
    }

    /** Delivers a start, which gets no answer, to the life that the minion has by then. */
    private void deliverLate(Map<String, Object> order, long heldMillis) {
        journal.add("minion " + id + ": the start " + order.get("task") + " run " + order.get("run") + " is held for "
                + heldMillis + " ms");
        sleep(heldMillis);
        synchronized (this) {
            if (up) startRun(order);
        }
    }

    void onTakenNoteOf(String task, long run, String how) {
    }

    void onStart(Run run) {
    }

    void onEnd(Run run, String how) {
    }

    private void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        String target = exchange.getRequestHeaders().getFirst("Target-Instance");
        int status = 200;
        Map<String, Object> answer = new LinkedHashMap<>();
        if (target != null && !target.equals(id)) {
            status = 421;
        } else if (path.equals("/health")) {
            answer.put("ok", true);
        } else {
            Map<String, Object> order = Json.object(body);
            long heldMillis = heldMillis(path, order);
            if (heldMillis > 0) {
                daemon(() -> deliverLate(order, heldMillis));
                return;
            }
            synchronized (this) {
                String refusal = switch (path) {
                    case "/run-start" -> startRun(order);
                    case "/run-stop" -> stopRun(order);
                    case "/hold" -> hold(order, answer);
                    case "/pace" -> null;
                    default -> "none";
                };
                answer.put("clockMs", clockMillis());
                if (refusal != null) {
                    status = 409;
                    answer.put("reason", refusal);
                }
            }
        }
        byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private String startRun(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = (Long) order.get("run");
        long token = (Long) order.getOrDefault("fencingToken", 0L);
        String refusal = null;
        Run running = active.get(task);
        if (token < fence) {
            refusal = "fence";
        } else {
            fence = token;
            long deadline = (Long) order.get("deadlineMs");
            long used = active.values().stream().mapToLong(it -> work.gpus(it.task)).sum();
            if (running != null && running.run == run) refusal = null;
            else if (deadline <= clockMillis()) refusal = "late";
            else if (run <= Math.max(highestRun.getOrDefault(task, 0L), running == null ? 0 : running.run)) refusal = "old";
            else if (running != null || used + work.gpus(task) > gpus) refusal = "room";
            if (!"late".equals(refusal)) extend(deadline);
            if (refusal == null && running == null) {
                long now = clockMillis();
                Run started = new Run(task, run, now, now + work.workMillis(task));
                active.put(task, started);
                onStart(started);
            }
        }
        journal.add("minion " + id + ": start of run " + run + " of " + task + " with fence " + token + " -> "
                + (refusal == null ? "200" : "409 " + refusal));
        return refusal;
    }

    private String stopRun(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = (Long) order.get("run");
        long token = (Long) order.getOrDefault("fencingToken", 0L);
        journal.add("minion " + id + ": stop of run " + run + " of " + task + " with fence " + token);
        if (token < fence) return "fence";
        fence = token;
        highestRun.merge(task, run, Math::max);
        Run running = active.get(task);
        if (running != null && running.run <= run) end(running, "stopped");
        return null;
    }

    private String hold(Map<String, Object> order, Map<String, Object> answer) {
        long token = (Long) order.getOrDefault("fencingToken", 0L);
        if (token < fence) return "fence";
        fence = token;
        Object deadline = order.get("deadlineMs");
        if (deadline != null) extend((Long) deadline);
        long acked = (Long) order.getOrDefault("ackedThrough", 0L);
        for (List<Object> end : ended.headMap(acked, true).values()) {
            journal.add("minion " + id + ": the end of run " + end.get(2) + " of " + end.get(1) + " is taken note of");
            onTakenNoteOf((String) end.get(1), (Long) end.get(2), (String) end.get(3));
        }
        ended.headMap(acked, true).clear();
        long waitEnd = clockMillis() + (Long) order.getOrDefault("waitMs", 0L);
        long current = life;
        while (ended.isEmpty() && life == current && clockMillis() < waitEnd) {
            try {
                wait(Math.max(1, waitEnd - clockMillis()));
            } catch (InterruptedException e) {
                return "none";
            }
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : active.values()) {
            rows.add(List.of(run.task, run.run, "", percent(run), 0));
        }
        answer.put("born", born);
        answer.put("active", rows);
        answer.put("ended", new ArrayList<>(ended.values()));
        return null;
    }

    /** A task that lasts is at 100 once it has started up. */
    private long percent(Run run) {
        long work = run.endMillis - run.startMillis;
        if (work >= LASTS_MILLIS) return 100;
        return Math.min(100, 100 * (clockMillis() - run.startMillis) / Math.max(1, work));
    }

    private void extend(long deadline) {
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadline, clockMillis() + Bounds.MAX_HOLD_MILLIS));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in minion that follows the users' protocol for running tasks: fences, leases, ends and runs that are old.
 *
 * A task works for as long as its job's spec says, as "ms=8000". Gangs and checkpoints are not supported.
 */
final class Minion {
    /** What a minion does with an order: it carries it out at once, or late and without an answer. */
    interface Behaviour {
        /** Returns after how many milliseconds the order is carried out without an answer; 0 for at once. */
        long delayMillis(Minion minion, String path, Map<String, Object> order);
    }

    /** A run that a minion has begun. */
    static final class Start {
        final Minion minion;
        final long born;
        final String task;
        final long run;
        final long atMillis;
        volatile long endMillis = Long.MAX_VALUE;
        volatile String how = "";
        private long workMillis;
        private long stopAtMillis = Long.MAX_VALUE;

        Start(Minion minion, String task, long run, long atMillis) {
            this.minion = minion;
            this.born = minion.born;
            this.task = task;
            this.run = run;
            this.atMillis = atMillis;
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        @Override
        public String toString() {
            return task + " run " + run + " on " + minion.id;
        }
    }

    private final Cluster cluster;
    final String id;
    final String ip;
    private final int index;
    private final long gpus;
    private final String rack;
    private long firstPingDelayMillis;
    volatile Behaviour behaviour = (minion, path, order) -> 0;

    /** All runs that minions of the case have begun, in order. */
    private final List<Start> history;

    private Http.Server server;
    private volatile boolean up;
    private volatile int life;
    private volatile boolean draining;
    private volatile boolean cutOff;
    private volatile boolean leaving;
    long born;
    private long startNanos;
    private long sequence;
    private long fence;
    private long leaseEndMillis;
    private long lastEnd;
    private final Map<String, Start> active = new HashMap<>();
    private final Map<String, Long> over = new HashMap<>();
    private final List<List<Object>> ended = new ArrayList<>();
    private volatile String pingAddress;

    Minion(Cluster cluster, int index, List<Start> history) {
        this(cluster, index, history, 8);
    }

    Minion(Cluster cluster, int index, List<Start> history, long gpus) {
        this.cluster = cluster;
        this.index = index;
        this.history = history;
        this.gpus = gpus;
        id = String.format("i-%08x", 0x7f3a91c2L + index * 0x01000193L & 0xffffffffL);
        ip = cluster.net + "." + (101 + index);
        rack = "r1-" + index / 8;
    }

    static List<Start> newHistory() {
        return new CopyOnWriteArrayList<>();
    }

    /** Returns the address of the control host that the last answer to a ping named; null if none did. */
    String leaderIp() {
        String named = pingAddress;
        return named == null ? null : named.substring(0, named.indexOf(':'));
    }

    boolean isUp() {
        return up;
    }

    void firstPingDelay(long millis) {
        firstPingDelayMillis = millis;
    }

    /** Starts a life of this minion, which knows nothing of earlier ones. */
    synchronized void start() throws IOException {
        active.clear();
        over.clear();
        ended.clear();
        fence = 0;
        leaseEndMillis = 0;
        lastEnd = 0;
        sequence = 0;
        draining = false;
        cutOff = false;
        leaving = false;
        born = Math.max(System.currentTimeMillis(), born + 1);
        startNanos = System.nanoTime();
        life++;
        int thisLife = life;
        server = new Http.Server(ip, Cluster.MINION_PORT, request -> respond(request, thisLife));
        up = true;
        cluster.log("minion %s is up (life %d, born %d)", id, life, born);
        Cluster.daemon("pings of " + id, () -> sendPings(thisLife));
        Cluster.daemon("work of " + id, () -> work(thisLife));
    }

    /** Kills this life at once: nothing is said, and everything that runs ends. */
    void crash() {
        Http.Server closing;
        synchronized (this) {
            up = false;
            closing = server;
            for (Start start : active.values()) close(start, "crash");
            active.clear();
            cluster.log("minion %s crashes", id);
            notifyAll();
        }
        closing.close();
    }

    /** Announces that this minion leaves, and serves on. */
    void drain() {
        draining = true;
        cluster.log("minion %s drains", id);
        Cluster.daemon("ping", this::ping);
    }

    /** Cuts this minion off from all machines, or joins it again: no order, answer or ping gets through. */
    void cutOff(boolean cut) {
        cutOff = cut;
        cluster.log("minion %s is %s", id, cut ? "cut off" : "reachable again");
    }

    /** Announces the end of this minion, and sends no more pings; the caller decides when it ends. */
    void sendDelete() {
        leaving = true;
        String ip = pingAddress != null ? pingAddress.substring(0, pingAddress.indexOf(':')) : cluster.controlIp(0);
        Http.Answer answer = Http.once(ip, Cluster.CONTROL_PORT, "DELETE", "/instances/" + id, Map.of(), null, 1000);
        cluster.log("DELETE of %s at %s: the host answers %s%s", id, ip, answer.summary(),
            cutOff ? ", which is lost on its way" : "");
    }

    /** Ends this life after its announcement; everything that runs here ends. */
    void end() {
        cluster.log("minion %s ends", id);
        crash();
    }

    private long clockMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private boolean lives(int thisLife) {
        return up && life == thisLife;
    }

    private void sendPings(int thisLife) {
        try {
            Thread.sleep(firstPingDelayMillis);
            while (lives(thisLife) && !leaving) {
                ping();
                Thread.sleep(1500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ping() {
        if (cutOff) return;
        String body;
        synchronized (this) {
            sequence++;
            body = Json.write(Json.map(
                "service", Cluster.SERVICE, "address", ip + ":" + Cluster.MINION_PORT,
                "zone", Cluster.ZONES.get(index % 3), "version", "v1", "slots", 8,
                "state", draining ? "draining" : "ready", "coldRemainingMs", 0,
                "capacity", Json.map("cpu", 128000, "memoryRequestMb", 524288, "gpus", gpus),
                "labels", List.of("a", rack), "clockMs", clockMillis(), "sequence", sequence, "born", born));
        }
        String named = pingAddress;
        for (int attempt = 0; attempt < 4; attempt++) {
            String ip = attempt == 0 && named != null
                ? named.substring(0, named.indexOf(':')) : cluster.controlIp((index + attempt) % 3);
            Http.Answer answer =
                Http.once(ip, Cluster.CONTROL_PORT, "PUT", "/instances/" + id, Map.of(), body, 1000);
            if (answer.isSuccess()) {
                Object address = Json.object(answer.body()).get("heartbeatAddress");
                if (address != null) pingAddress = (String) address;
                return;
            }
            pingAddress = null;
        }
    }

    private Http.Reply respond(Http.Message request, int thisLife) throws InterruptedException {
        String[] words = request.firstLine().split(" ");
        String path = words[1];
        if (!lives(thisLife) || cutOff) return null;
        if (path.equals("/health")) return new Http.Reply(200, "{}");
        String target = request.headers().get("target-instance");
        if (target != null && !target.equals(id)) return new Http.Reply(421, "{}");
        Map<String, Object> order = Json.object(request.body());
        long delayMillis = behaviour.delayMillis(this, path, order);
        if (delayMillis > 0) {
            cluster.log("minion %s leaves %s %s unanswered and carries it out in %d ms",
                id, path, order.getOrDefault("task", ""), delayMillis);
            Cluster.daemon("late order", () -> carryOutLate(path, order, delayMillis));
            return null;
        }
        Http.Reply reply = carryOut(path, order, true);
        return cutOff ? null : reply;
    }

    private void carryOutLate(String path, Map<String, Object> order, long delayMillis) {
        try {
            Thread.sleep(delayMillis);
            if (!up) {
                cluster.log("late order %s %s reaches nobody: %s is down", path, order.getOrDefault("task", ""), id);
                return;
            }
            Http.Reply reply = carryOut(path, order, false);
            cluster.log("minion %s carries out late %s %s: %d %s",
                id, path, order.getOrDefault("task", ""), reply.status(), reply.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Http.Reply carryOut(String path, Map<String, Object> order, boolean mayWait) throws InterruptedException {
        synchronized (this) {
            long token = number(order.get("fencingToken"), 0);
            if (token < fence) return refusal("fence");
            fence = token;
            return switch (path) {
                case "/run-start" -> begin(order);
                case "/run-stop" -> stop(order);
                case "/hold" -> hold(order, mayWait);
                case "/pace" -> ok();
                default -> new Http.Reply(404, "{}");
            };
        }
    }

    private Http.Reply begin(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = number(order.get("run"), 0);
        extendLease(order);
        if (number(order.get("deadlineMs"), 0) <= clockMillis()) return refusal("late");
        Start present = active.get(task);
        if (present != null && present.run == run) return ok();
        if (over.getOrDefault(task, 0L) >= run || present != null) return refusal("old");
        Start start = new Start(this, task, run, cluster.millis());
        String spec = (String) order.get("spec");
        start.workMillis = Long.parseLong(spec.replaceAll(".*ms=(\\d+).*", "$1"));
        active.put(task, start);
        history.add(start);
        cluster.log("START %s (life %d)", start, life);
        return ok();
    }

    private Http.Reply stop(Map<String, Object> order) {
        String task = (String) order.get("task");
        long run = number(order.get("run"), 0);
        over.merge(task, run, Math::max);
        Start start = active.get(task);
        if (start != null && start.run <= run) start.stopAtMillis = cluster.millis() + 100;
        cluster.log("stop of %s run %d on %s", task, run, id);
        return ok();
    }

    private Http.Reply hold(Map<String, Object> order, boolean mayWait) throws InterruptedException {
        long through = number(order.get("ackedThrough"), 0);
        ended.removeIf(row -> (Long) row.get(0) <= through);
        extendLease(order);
        long untilMillis = cluster.millis() + (mayWait ? number(order.get("waitMs"), 0) : 0);
        int thisLife = life;
        while (ended.isEmpty() && cluster.millis() < untilMillis && lives(thisLife)) {
            wait(Math.max(1, untilMillis - cluster.millis()));
        }
        List<Object> rows = new ArrayList<>();
        for (Start start : active.values()) {
            long percent = Math.min(99, (cluster.millis() - start.atMillis) * 100 / Math.max(1, start.workMillis));
            rows.add(List.of(start.task, start.run, "", percent, 0));
        }
        return new Http.Reply(200, Json.write(Json.map(
            "clockMs", clockMillis(), "born", born, "active", rows, "ended", new ArrayList<>(ended))));
    }

    private void extendLease(Map<String, Object> order) {
        if (order.get("deadlineMs") == null) return;
        long longest = clockMillis() + 10_000;
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(number(order.get("deadlineMs"), 0), longest));
    }

    /** Ends runs that are done, stopped, or whose lease has expired. */
    private void work(int thisLife) {
        while (true) {
            synchronized (this) {
                if (!lives(thisLife)) return;
                long nowMillis = cluster.millis();
                for (Start start : new ArrayList<>(active.values())) {
                    if (clockMillis() >= leaseEndMillis) end(start, "lapsed");
                    else if (nowMillis >= start.stopAtMillis) end(start, "stopped");
                    else if (nowMillis - start.atMillis >= start.workMillis) end(start, "done");
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(Start start, String how) {
        active.remove(start.task);
        over.merge(start.task, start.run, Math::max);
        ended.add(List.of(++lastEnd, start.task, start.run, how, ""));
        close(start, how);
        notifyAll();
    }

    private void close(Start start, String how) {
        start.how = how;
        start.endMillis = cluster.millis();
        cluster.log("END %s: %s", start, how);
    }

    private Http.Reply ok() {
        return new Http.Reply(200, "{\"clockMs\":" + clockMillis() + "}");
    }

    private Http.Reply refusal(String reason) {
        return new Http.Reply(409, "{\"clockMs\":" + clockMillis() + ",\"reason\":\"" + reason + "\"}");
    }

    private static long number(Object value, long missing) {
        return value instanceof Number number ? number.longValue() : missing;
    }
}

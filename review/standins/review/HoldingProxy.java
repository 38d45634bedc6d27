package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A proxy before a minion; it holds back as many starts as it is told to, and delivers them later. */
final class HoldingProxy {
    private final String target;
    private final Recorder recorder;
    private final AtomicInteger startsToHold = new AtomicInteger();
    private volatile long heldMillis;

    HoldingProxy(String ip, int port, int targetPort, Recorder recorder) throws IOException {
        target = ip + ":" + targetPort;
        this.recorder = recorder;
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::forward);
        server.start();
    }

    /** Holds the next {@code count} starts for {@code millis}. */
    void hold(int count, long millis) {
        heldMillis = millis;
        startsToHold.set(count);
    }

    private void forward(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String instance = exchange.getRequestHeaders().getFirst("Target-Instance");
        boolean held = path.equals("/run-start") && startsToHold.getAndUpdate(it -> Math.max(0, it - 1)) > 0;
        if (held) {
            recorder.write("the proxy holds for " + heldMillis + " ms: " + body);
            Minion.pause(heldMillis);
        }
        String[] headers = instance == null ? new String[0] : new String[] {"Target-Instance: " + instance};
        Http.Response response =
            Http.send(target, exchange.getRequestMethod(), path, body, 4_000, headers);
        if (held) recorder.write("the proxy has delivered the start: " + response.status() + " " + response.body());
        if (response.status() == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        try {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(response.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has stopped waiting.
        }
        exchange.close();
    }
}

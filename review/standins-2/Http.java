import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, so that a case sees exactly which answers arrive and which channels end. */
final class Http {
    private Http() {}

    /** A request or a response: its first line, headers in lower case, and body. */
    record Message(String firstLine, Map<String, String> headers, String body) {}

    /**
     * What a client got for a request: a status, or 0 with the reason why there is none.
     *
     * @param error "timeout", "closed" (the channel ended without a complete answer) or "refused"
     */
    record Answer(int status, Map<String, String> headers, String body, String error) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        String summary() {
            return status > 0 ? status + " " + body : "no answer (" + error + ")";
        }
    }

    /** Reads a message; null at the end of the channel before its first byte. */
    static Message read(InputStream in) throws IOException {
        String firstLine = line(in);
        if (firstLine == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else {
            body.write(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
        }
        return new Message(firstLine, headers, body.toString(StandardCharsets.UTF_8));
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new IOException("the channel ended in a body");
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("the channel ended in a body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) return null;
        while (c >= 0 && c != '\n') {
            if (c != '\r') out.write(c);
            c = in.read();
        }
        if (c < 0) throw new IOException("the channel ended in a line");
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** A client's channel to one address, which is kept open between requests. */
    static final class Channel implements AutoCloseable {
        private final String ip;
        private final int port;
        private Socket socket;
        private InputStream in;

        Channel(String ip, int port) {
            this.ip = ip;
            this.port = port;
        }

        Answer call(String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
                    in = new BufferedInputStream(socket.getInputStream());
                }
            } catch (IOException e) {
                close();
                return new Answer(0, Map.of(), "", e instanceof SocketTimeoutException ? "timeout" : "refused");
            }
            try {
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                if (!headers.containsKey("Host")) head.append("Host: ").append(ip).append("\r\n");
                if (body != null) head.append("Content-Type: application/json\r\n");
                head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                socket.setSoTimeout(timeoutMillis);
                socket.getOutputStream().write(out.toByteArray());
                Message message = read(in);
                if (message == null) throw new IOException("closed");
                int status = Integer.parseInt(message.firstLine().split(" ")[1]);
                if ("close".equalsIgnoreCase(message.headers().get("connection"))) close();
                return new Answer(status, message.headers(), message.body(), null);
            } catch (SocketTimeoutException e) {
                close();
                return new Answer(0, Map.of(), "", "timeout");
            } catch (IOException | RuntimeException e) {
                close();
                return new Answer(0, Map.of(), "", "closed");
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // The channel is given up in any case.
            }
            socket = null;
        }
    }

    /** Sends one request on a channel of its own. */
    static Answer once(
        String ip, int port, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        try (Channel channel = new Channel(ip, port)) {
            return channel.call(method, path, headers, body, timeoutMillis);
        }
    }

    /** Answers a request; null leaves it without an answer, on a channel that stays open. */
    interface Handler {
        Reply handle(Message request) throws Exception;
    }

    record Reply(int status, String body) {}

    /** A server that can be closed and its channels with it, as when its process is killed. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 128);
            Cluster.daemon("server " + ip, this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    if (closed) socket.close();
                    Cluster.daemon("channel", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in); request != null && !closed; request = read(in)) {
                    Reply reply = handler.handle(request);
                    if (reply == null) continue;
                    byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + reply.status() + " status\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n";
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(body);
                    if (!closed) socket.getOutputStream().write(out.toByteArray());
                }
            } catch (Exception e) {
                // The peer has closed the channel, or this server has.
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() {
            closed = true;
            try {
                listener.close();
                for (Socket socket : sockets) socket.close();
            } catch (IOException e) {
                // It is closed in any case.
            }
        }
    }
}

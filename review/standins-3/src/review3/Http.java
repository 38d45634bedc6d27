package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** HTTP/1.1 calls, each on a connection of its own. */
final class Http {
    /** The response to a call; {@code status} is 0 if none came in time. */
    record Response(int status, String body) {
        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    private Http() {
    }

    static Response call(
            String address, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
            socket.connect(Net.address(address), timeoutMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: ").append(address).append("\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (content.length > 0) head.append("Content-Type: application/json\r\n");
            head.append("Content-Length: ").append(content.length).append("\r\nConnection: close\r\n\r\n");
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.toString().getBytes(StandardCharsets.UTF_8));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            return read(socket, endNanos);
        } catch (IOException e) {
            return new Response(0, "" + e);
        }
    }

    private static Response read(Socket socket, long endNanos) throws IOException {
        InputStream input = socket.getInputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        int bodyStart = -1;
        int length = Integer.MAX_VALUE;
        while (bodyStart < 0 || received.size() - bodyStart < length) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) return new Response(0, "no response in time");
            socket.setSoTimeout((int) leftMillis);
            int count = input.read(buffer);
            if (count < 0) break;
            received.write(buffer, 0, count);
            if (bodyStart < 0) {
                String text = received.toString(StandardCharsets.ISO_8859_1);
                int headEnd = text.indexOf("\r\n\r\n");
                if (headEnd < 0) continue;
                bodyStart = headEnd + 4;
                for (String line : text.substring(0, headEnd).split("\r\n")) {
                    if (line.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                    }
                }
            }
        }
        if (bodyStart < 0) return new Response(0, "the connection ended without a response");
        String text = received.toString(StandardCharsets.UTF_8);
        int status = Integer.parseInt(text.substring(9, 12));
        return new Response(status, text.substring(text.indexOf("\r\n\r\n") + 4));
    }
}

package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends HTTP/1.1 requests, each on a connection of its own. */
final class Http {
    /** A response; status 0 and the reason as body if there was none. */
    record Response(int status, String body) {
        boolean ok() {
            return status >= 200 && status < 300;
        }
    }

    private Http() {
    }

    /** Sends a request to {@code address} (IP:PORT); {@code headers} are complete lines without line ends. */
    static Response send(String address, String method, String path, String body, int timeoutMillis, String... headers) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
            new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        boolean host = false;
        for (String header : headers) {
            head.append(header).append("\r\n");
            host |= header.startsWith("Host:");
        }
        if (!host) head.append("Host: ").append(address).append("\r\n");
        head.append("Content-Type: application/json\r\nConnection: close\r\nContent-Length: ")
            .append(content.length).append("\r\n\r\n");
        long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(target, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            message.write(content);
            socket.getOutputStream().write(message.toByteArray());
            return read(socket, socket.getInputStream(), endNanos);
        } catch (IOException | RuntimeException e) {
            return new Response(0, e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    private static Response read(Socket socket, InputStream input, long endNanos) throws IOException {
        String statusLine = line(socket, input, endNanos);
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        int length = 0;
        boolean chunked = false;
        for (String header = line(socket, input, endNanos); !header.isEmpty(); header = line(socket, input, endNanos)) {
            String lower = header.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
            if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) chunked = true;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (chunked) {
            for (int size = chunkSize(socket, input, endNanos); size > 0; size = chunkSize(socket, input, endNanos)) {
                body.write(bytes(socket, input, size, endNanos));
                line(socket, input, endNanos);
            }
        } else {
            body.write(bytes(socket, input, length, endNanos));
        }
        return new Response(status, body.toString(StandardCharsets.UTF_8));
    }

    private static int chunkSize(Socket socket, InputStream input, long endNanos) throws IOException {
        return Integer.parseInt(line(socket, input, endNanos).trim(), 16);
    }

    private static byte[] bytes(Socket socket, InputStream input, int count, long endNanos) throws IOException {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) bytes[i] = (byte) next(socket, input, endNanos);
        return bytes;
    }

    private static String line(Socket socket, InputStream input, long endNanos) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = next(socket, input, endNanos); next != '\n'; next = next(socket, input, endNanos)) {
            if (next != '\r') line.append((char) next);
        }
        return line.toString();
    }

    private static int next(Socket socket, InputStream input, long endNanos) throws IOException {
        int leftMillis = (int) ((endNanos - System.nanoTime()) / 1_000_000L);
        if (leftMillis <= 0) throw new IOException("no answer in time");
        socket.setSoTimeout(leftMillis);
        int next = input.read();
        if (next < 0) throw new IOException("connection closed without a complete answer");
        return next;
    }
}

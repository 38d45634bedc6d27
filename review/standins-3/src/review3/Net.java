package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;

/** Loopback addresses and free ports. */
final class Net {
    private Net() {
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            InetAddress ip = InetAddress.getByName(text.substring(0, colon));
            return new InetSocketAddress(ip, Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Returns the first of some consecutive ports that are free at all of {@code ips}. */
    static int freePorts(List<String> ips, int count) {
        for (int first = 20_000 + (int) (System.nanoTime() % 5_000); first < 32_000; first += count) {
            boolean free = true;
            for (String ip : ips) {
                for (int port = first; port < first + count && free; port++) free = isFree(ip, port);
            }
            if (free) return first;
        }
        throw new IllegalStateException("no free ports");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}

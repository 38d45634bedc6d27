package review;

/** Desired states that can't be read in full are sent; none may be acknowledged, be in force or be read back. */
public final class BrokenConfig extends Case {
    static final long CONFIG_APPLY_MILLIS = 2_500;

    public static void main(String[] arguments) throws Exception {
        new BrokenConfig().main(arguments[0]);
    }

    @Override
    String run() throws Exception {
        require(deployment.awaitReady(30_000), "the entry hosts are not ready");
        require(deployment.putConfig(config(3, route("r-1", PREFIX)), 0, 20_000).ok(), "no desired state");
        String broken = null;
        for (int i = 0; i < 3; i++) {
            long version = 8 + 5L * i;
            String whole = config(version, route("r-1", PREFIX), route("r-2", "/teinte/"));
            // Some bytes in the middle are missing: a comma, a value, or the end of a key with what follows it.
            String cut = switch (i) {
                case 0 -> whole.replace("16384,\"maxBodyBytes", "16384\"maxBodyBytes");
                case 1 -> whole.replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":");
                default -> whole.replace("\"tls\":false", "\"tls\":f");
            };
            String sent = trouble ? cut : whole;
            recorder.write("version " + version + " is " + (readable(sent) ? "valid JSON" : "no valid JSON"));
            require(readable(sent) != trouble, "the text is not as intended");
            Http.Response response = deployment.putConfig(sent, i, 5_000);
            if (trouble && response.ok()) broken = "CONFIG: a desired state that can't be read is acknowledged";
            Minion.pause(CONFIG_APPLY_MILLIS);
            for (String address : deployment.control) {
                Http.Response read = Http.send(address, "GET", "/config", "", 3_000);
                recorder.write("GET /config at " + address + ": " + read.status() + ", "
                    + (readable(read.body()) ? "valid JSON" : "no valid JSON") + ": " + read.body());
                if (read.ok() && !readable(read.body())) {
                    broken = "CONFIG: a desired state that can't be read is acknowledged and read back";
                }
            }
            Http.Response response2 = deployment.client(0, "GET", HOST, "/teinte/", KEY, "");
            recorder.write("the route that version " + version + " adds is "
                + (response2.status() == 200 ? "in force" : "not in force"));
        }
        return broken;
    }

    private static boolean readable(String text) {
        try {
            return Json.object(text) != null;
        } catch (RuntimeException e) {
            return false;
        }
    }
}

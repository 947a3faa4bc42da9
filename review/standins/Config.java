package review;

import java.util.List;

/** Configurations as the operator writes them to the store. */
final class Config {
    static final String HOST = "jepu9.example";

    private Config() {}

    static String route(String name, String prefix, String kind, int timeoutMillis, String service) {
        return "[\"%s\",\"%s\",\"%s\",\"%s\",%d,%d,1,null,2,\"%s\"]"
                .formatted(name, HOST, prefix, kind, timeoutMillis, timeoutMillis / 3, service);
    }

    /** Returns a configuration in full. Every service has the same health path and number of connections. */
    static String text(int version, List<String> routes, List<String> services) {
        String rows = String.join(",", services.stream()
                .map(service -> "[\"%s\",\"/healthz\",220,\"h1\",false]".formatted(service))
                .toList());
        return """
                {"version":"%08x","routes":{"columns":["name","host","prefix","kind","timeoutMs","aimMs","priority",\
                "backends","attempts","service"],"rows":[%s]},"services":{"columns":["name","healthPath","maxConns",\
                "protocol","tls"],"rows":[%s]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,\
                "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
                .formatted(version, String.join(",", routes), rows);
    }
}

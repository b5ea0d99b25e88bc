/** The operator's configuration of the cases. */
final class Manifest {

    private Manifest() {}

    /** Two routes to one service of model servers: /drafts/ may be resumed, /chat/ may not. */
    static String engines() {
        return """
                {"version":7,"routes":[
                {"name":"draft","host":"desk.example","path_prefix":"/drafts/","kind":"streaming",
                "timeout_ms":15000,"target_latency_ms":600,"priority":0,"service":"pool",
                "max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250},
                {"name":"chat","host":"desk.example","path_prefix":"/chat/","kind":"streaming",
                "timeout_ms":15000,"target_latency_ms":500,"priority":2,"service":"pool",
                "max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":250}],
                "services":[{"name":"pool","health_path":"/health","max_conns":500,
                "protocol":"h1","tls":false,"engine":{"slots":96,"kv_capacity":300209,
                "kv_token_bytes":131072,"link_mbps":260000.0,"models":[{"name":"m"}]}}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
                "header_timeout_ms":3000,"idle_timeout_ms":15000},
                "tenants":[{"name":"clinic","api_keys":["key-1"],"priority":1,
                "unit":"token_stream","plain_tokens":200,"rate_per_s":1000000,"burst":1000000}]}"""
                .replace("\n", "");
    }

    /** The same, with two routes to a plain service: short checks and uploads. */
    static String enginesAndPlain() {
        return engines()
                .replace(
                        "\"routes\":[",
                        """
                        "routes":[
                        {"name":"check","host":"desk.example","path_prefix":"/checks/",
                        "kind":"idempotent","timeout_ms":1000,"target_latency_ms":120,
                        "priority":2,"service":"api","max_attempts":2,"public":false},
                        {"name":"upload","host":"desk.example","path_prefix":"/uploads/",
                        "kind":"non_idempotent","timeout_ms":15000,"target_latency_ms":2000,
                        "priority":2,"service":"api","max_attempts":1,"public":false},"""
                                .replace("\n", ""))
                .replace(
                        "\"services\":[",
                        """
                        "services":[{"name":"api","health_path":"/health","max_conns":110,
                        "protocol":"h1","tls":false},"""
                                .replace("\n", ""));
    }
}

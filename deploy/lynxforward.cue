// A forwarder of an installation whose tables are in etcd; `lynxmill settings --of lynxforward check` reads it too. Off on
// the users' platform, whose proxies are its own.
name: "f0"
number: 0
zone: "main-street"
listen: "127.0.0.1:8080"
shared_port: true
status: "127.0.0.1:8081"
discovery: "127.0.0.1:8500"
store: { protocol: "etcd", address: "127.0.0.1:2379", look_ms: 500ms }
collectors: [ { assigner: "n0", address: "127.0.0.1:8000" } ]
routes: [
  { operation: "scale-recipe", path: "/recipes/{key}/scale" },
  { operation: "cookoff-vote", method: "POST", path: "/cookoff/{}/votes/{key}" },
]
client_head: "x-client"
turned_back: [429]
drain_s: 5s
limits: { connections: 4096, per_client_s: 50, stall_ms: 5s, window_bytes: 32KiB }
settings: {
  classes: [
    { name: "scale-recipe", slo: 1s, deadline: 2.5s, effect: "safe" },
    { name: "cookoff-vote", slo: 0.4s, deadline: 0.6s, effect: "unsafe" },
  ]
  failure_domains: ["main-street", "river-road", "pump-house"]
  specifics: {
    interval: 0.5s, lease: 4s, settle: 0.62s, waits_for_table: 0.3s, first_wait: 1.2, retry_default: 1, shards: 67,
    class_writes: [false, true]
  }
}

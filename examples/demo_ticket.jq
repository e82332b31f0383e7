# Builds the demo's ticket from the stand-ins' addresses and a caller's key.
def target($id; $back_end; $data_centre; $address; $mib):
  {id: $id, back_end: $back_end, data_centre: $data_centre,
   address: $address, memory_mib: $mib, max_concurrency: 8};
{
  ticket: 1,
  author: "demo",
  reason: "first configuration",
  data_centres: [
    {id: "recife-a", region: "nordeste"},
    {id: "recife-b", region: "nordeste"}
  ],
  customers: [
    {id: "optica-sol", requests_per_second: 50, burst_requests: 50}
  ],
  keys: [$key],
  back_ends: [
    {id: "runners", kind: "model"},
    {id: "counter", kind: "plain"}
  ],
  targets: [
    target("runner-a1"; "runners"; "recife-a"; $e1; 1000),
    target("runner-a2"; "runners"; "recife-a"; $e2; 1000),
    target("runner-b1"; "runners"; "recife-b"; $e3; 1000),
    target("runner-b2"; "runners"; "recife-b"; $e4; 1000),
    target("counter-a1"; "counter"; "recife-a"; $service; 0)
  ],
  model_routes: [
    {model: "frames-base", back_end: "runners", memory_mib: 400, max_replicas: 2},
    {model: "frames-small", back_end: "runners", memory_mib: 200, max_replicas: 2},
    {model: "frames-recife", back_end: "runners", base: "frames-base", memory_mib: 20},
    {model: "frames-natal", back_end: "runners", base: "frames-base", memory_mib: 20}
  ],
  plain_routes: [
    {route: "reservations", back_end: "counter", methods: ["GET", "POST"],
     idempotent_methods: ["GET"]}
  ]
}

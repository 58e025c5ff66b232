@0xb8d1f0a6c2e94753;

# Asks which map version an instance has adopted.
struct ConfirmRequest {
  service @0 :Text;
}

struct ReachedServer {
  serverId @0 :Text;
  ageS @1 :Float64;
}

struct ConfirmReply {
  instanceId @0 :Text;
  version @1 :UInt64;
  # Seconds since the instance's last read of the map row that showed this version; negative if
  # there was none.
  newsAgeS @2 :Float64;
  reached @3 :List(ReachedServer);
}

# Asks an instance to adopt a map; the map is the JSON text of the map row.
struct AdoptRequest {
  service @0 :Text;
  map @1 :Text;
}

struct AdoptReply {
  instanceId @0 :Text;
  version @1 :UInt64;
}

# Asks for the adopted map; the reply is its JSON text, empty if there is none.
struct MapRequest {
  service @0 :Text;
}

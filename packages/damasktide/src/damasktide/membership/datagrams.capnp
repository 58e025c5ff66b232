@0xe389a62ccfa5a6c8;

struct Datagram {
  sequence @0 :UInt64;
  # Sequence number of the sender, for the replay window.
  sender @1 :Claim;
  recipientId @2 :Text;
  claims @3 :List(Claim);
  versions @4 :List(Version);
  body :union {
    ping @5 :UInt64;
    ack @6 :UInt64;
    pingRequest @7 :PingRequest;
    join @8 :Void;
    welcome @9 :Void;
    pull @10 :Text;
    page @11 :Page;
    gossip @12 :Void;
  }
}

struct Claim {
  instanceId @0 :Text;
  domain @1 :Text;
  region @2 :Text;
  host @3 :Text;
  gossipPort @4 :UInt16;
  peerPort @5 :UInt16;
  incarnation @6 :UInt32;
  health @7 :UInt8;
  leaving @8 :Bool;
}

struct Version {
  name @0 :Text;
  version @1 :UInt64;
}

struct PingRequest {
  probeId @0 :UInt64;
  targetId @1 :Text;
}

struct Page {
  lastId @0 :Text;
  isLast @1 :Bool;
}

@0x85ab210664a1463d;

struct Frame {
  union {
    hello @0 :Hello;
    call @1 :Call;
    reply @2 :Reply;
  }
}

struct Hello {
  # First frame in each direction of a link.
  senderId @0 :Text;
  nonce @1 :Data;
}

struct Call {
  callId @0 :UInt64;
  kind @1 :Text;
  body @2 :Data;
}

struct Reply {
  callId @0 :UInt64;
  union {
    body @1 :Data;
    error @2 :Text;
  }
}

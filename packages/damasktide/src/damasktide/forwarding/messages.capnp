@0xd07c5b92e1f4a638;

# A request that another instance has admitted, to be run by the receiver.
struct ForwardRequest {
  requestId @0 :Text;
  attempt @1 :UInt32;
  method @2 :Text;
  service @3 :Text;
  operation @4 :Text;
  hasKey @5 :Bool;
  key @6 :Text;
  query @7 :Text;
  contentType @8 :Text;
  body @9 :Data;
  # Time that the receiver has left to run the request, measured from the time of sending.
  remainingMs @10 :UInt32;
  customer @11 :Text;
  allowedRegions @12 :List(Text);
  isIdempotent @13 :Bool;
  isKeyed @14 :Bool;
}

struct ForwardReply {
  union {
    answer @0 :Answer;
    refusal @1 :Refusal;
  }
}

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
  serverId @3 :Text;
}

struct Refusal {
  code @0 :Text;
  detail @1 :Text;
  # Negative if absent.
  retryAfterS @2 :Int32;
}

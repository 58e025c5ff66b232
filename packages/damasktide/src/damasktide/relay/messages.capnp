@0xc3b1d0a5e7f24c19;

struct NewsWanted {
  # Request for the changes of a table after a version.
  table @0 :Text;
  after @1 :UInt64;
  waitS @2 :Float64;
  maxAgeS @3 :Float64;
  isWhole @4 :Bool;
  knownConfirmation @5 :Float64 = inf;
  # A newer confirmation ends the wait; processes that do not send it wait for changes only.
  acceptsComplete @6 :Bool;
}

struct News {
  # Reply to NewsWanted: the reason of a refusal, or the changes.
  union {
    refused @0 :Text;
    changes @1 :Changes;
  }
}

struct Changes {
  version @0 :UInt64;
  ageS @1 :Float64;
  rows @2 :List(Row);
  confirmed @3 :List(Confirmation);
  # Of each table that the sender has read.
  confirmation @4 :Float64;
  # On the sender's clock; the receiver only returns it.
  uninterruptedS @5 :Float64 = -inf;
  isComplete @6 :Bool;
}

struct Confirmation {
  table @0 :Text;
  ageS @1 :Float64;
}

struct Row {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  isDropped @3 :Bool;
}

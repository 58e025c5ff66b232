@0xe3a75c1d90b2f468;

# The configuration in force at an instance; version 0 if it has none.
struct Offer {
  version @0 :UInt64;
  rowBody @1 :Text;
  object @2 :Data;
}

@0xd1f3a6b07c2e4985;
# Membership messages between nodes. Each is sent packed in one UDP datagram, after a
# keyed MAC of 16 bytes.

struct Member {
  node @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  state @3 :UInt8;
  host @4 :Text;
  peersPort @5 :UInt16;
  gossipPort @6 :UInt16;
  zone @7 :Text;
  service @8 :Text;
  slots @9 :UInt32;
  backendStartedMs @10 :UInt64;
  roomMs @11 :UInt16;
  departed @12 :List(DepartedStart);
}

struct DepartedStart {
  instance @0 :Text;
  startedMs @1 :UInt64;
}

struct BackendEnd {
  node @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt32;
  part @3 :UInt8;
  requests @4 :Data;
  ageMs @5 :UInt32;
}

struct QuarantineWord {
  request @0 :UInt64;
  ends @1 :UInt16;
  ageMs @2 :UInt32;
}

struct Gossip {
  sender @0 :Text;
  sentAtMs @1 :Float64;
  kind @2 :UInt8;
  sequence @3 :UInt32;
  revision @4 :UInt64;
  members @5 :List(Member);
  target @6 :Text;
  cursor @7 :Text;
  routeVersion @8 :UInt64;
  ends @9 :List(BackendEnd);
  words @10 :List(QuarantineWord);
  quarantineDigest @11 :UInt32;
  provenAgeMs @12 :Float32 = -1;
  caps @13 :Data;
  logEpoch @14 :UInt32;
  configDigest @15 :UInt32;
  readAgeMs @16 :Float32 = -1;
  withoutUpdates @17 :Bool;
}

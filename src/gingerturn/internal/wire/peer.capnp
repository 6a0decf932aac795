@0xd1f3a6b07c2e4985;
# Frames of the protocol between nodes: over TCP each is preceded by its length
# (32 bits, big endian); over UDP one datagram holds one. The call id stands on
# every frame and is checked by the receiver.

struct Open {
  service @0 :Text;
  kind @1 :Text;
  importance @2 :UInt8;
  depth @3 :UInt8;
  root @4 :UInt64;
  trace @5 :Text;
  deadlineMs @6 :Float32;
  tokens @7 :UInt8;
  repeatable @8 :Bool;
  first @9 :Bool;
  keyDerived @10 :Bool;
  key @11 :Text;
  head @12 :Data;
  # Request line and headers as they go to the backend server.
  body @13 :Data;
  whole @14 :Bool;
  # The body is complete; otherwise data frames follow.
}

struct Report {
  level @0 :UInt32;
  treeLevel @1 :UInt32;
  load @2 :UInt32;
  limit @3 :UInt32;
  leaving @4 :Bool;
}

struct Answer {
  status @0 :UInt16;
  tokens @1 :UInt8;
  report @2 :Report;
  decision @3 :Text;
  head @4 :Data;
  body @5 :Data;
  whole @6 :Bool;
  length @7 :Int64;
  # Announced length of a body that follows in data frames; -1 when not known.
}

struct Refuse {
  rule @0 :UInt8;
  outcome @1 :UInt8;
  retryAfterMs @2 :Float32;
  decision @3 :Text;
  holder @4 :Text;
  tokens @5 :UInt8;
  report @6 :Report;
}

struct Chunk {
  body @0 :Data;
  last @1 :Bool;
}

struct Hello {
  node @0 :Text;
  incarnation @1 :UInt64;
  nonce @2 :Data;
  proof @3 :Data;
}

struct Ask {
  # A question about what a node holds: the text of a decision, or what changed
  # in the configuration since a revision.
  decision @0 :Text;
  sinceRevision @1 :UInt64;
}

struct Frame {
  callId @0 :UInt64;
  union {
    open @1 :Open;
    chunk @2 :Chunk;
    answer @3 :Answer;
    refuse @4 :Refuse;
    cancel @5 :Void;
    credit @6 :UInt32;
    hello @7 :Hello;
    ask @8 :Ask;
    reply @9 :Data;
    broken @10 :Void;
      # The body that was being sent cannot be completed.
    askLevel @11 :Text;
    # What is shed at present, for calls of this kind?
    tellLevel @12 :Report;
  }
}

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
}

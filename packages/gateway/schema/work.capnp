@0xa2b1c0923f6edd3d;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("skylarkwind::work_wire");

# Load reports and load summaries between the daemons of a gateway deployment, sent as datagrams. The
# fields are documented at the corresponding types in work_messages.h.

struct Member {
  name @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  strength @3 :UInt32;
  reachesStore @4 :Bool;
  start @5 :UInt64;
  stops @6 :Bool;
}

struct Work {
  backend @0 :UInt32;
  prefillTokens @1 :UInt32;
  addedUnits @2 :UInt32;    # in units of 64 tokens
  running @3 :UInt16;
  slowdown @4 :UInt8;       # log scale: 0 unknown, 128 is 1, 16 more is twice as slow
  failed @5 :UInt8;         # failure rate in units of 1/254; 255 when the server is ejected
}

struct Record {
  backend @0 :UInt32;
  answered @1 :UInt32;
  refused @2 :UInt32;
  failed @3 :UInt32;
  lost @4 :UInt32;
  slowCount @5 :UInt32;
  slowSum @6 :Float64;
}

struct KeptPart {
  key @0 :UInt64;
  backend @1 :UInt32;
  readyInMs @2 :UInt16;
  computed @3 :Bool;
}

struct Changing {
  backend @0 :UInt32;
  leftMs @1 :UInt32;
}

struct Leaving {
  backendId @0 :Text;
  startedAt @1 :UInt64;
}

struct Facts {
  kept @0 :List(KeptPart);
  changing @1 :List(Changing);
  leaving @2 :List(Leaving);
}

struct News {
  configuration @0 :UInt64;
  servers @1 :UInt64;
}

struct Report {
  sender @0 :Member;
  sequence @1 :UInt64;
  news @2 :News;
  work @3 :List(Work);
  facts @4 :Facts;
  records @5 :List(Record);
}

struct Summary {
  sender @0 :Member;
  sequence @1 :UInt64;
  wholeFleet @2 :Bool;
  daemons @3 :UInt32;
  news @4 :News;
  work @5 :List(Work);
  facts @6 :Facts;
  members @7 :List(Member);
  records @8 :List(Record);
}

struct Message {
  union {
    report @0 :Report;
    summary @1 :Summary;
  }
}

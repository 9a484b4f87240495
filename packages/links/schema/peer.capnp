@0xd2c8f6c1b34f7a19;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("skylarkwind::wire");

# Messages between daemons. Sizes are bounded by the receiver (see links.h).

struct Location {
  address @0 :Text;      # ip:port
  dataCentre @1 :Text;
  region @2 :Text;
}

struct MemberUpdate {
  vm @0 :Text;
  startId @1 :UInt64;    # start time of the process in ms
  location @2 :Location;
  refutation @3 :UInt64;
  state @4 :State;

  enum State {
    alive @0;
    suspect @1;
    dead @2;
    left @3;
  }
}

struct DocumentVersion {
  name @0 :Text;
  version @1 :UInt64;
}

# Body of a probe and of its reply.
struct Gossip {
  sender @0 :MemberUpdate;
  updates @1 :List(MemberUpdate);
  documents @2 :List(DocumentVersion);
}

struct Document {
  name @0 :Text;
  version @1 :UInt64;    # 0: nothing newer
  value @2 :Text;        # JSON
}

interface Peer {
  probe @0 (credential :Text, gossip :Gossip) -> (gossip :Gossip);
  indirectProbe @1 (credential :Text, sender :MemberUpdate, target :MemberUpdate) -> (reached :Bool);
  pushDocument @2 (credential :Text, document :Document, forwardTo :List(Location)) -> (document :Document);
  pullDocument @3 (credential :Text, name :Text, afterVersion :UInt64) -> (document :Document);
  claim @4 (credential :Text, shard :UInt32, key :Text, entry :Text) -> (settled :Bool, entry :Text);
}

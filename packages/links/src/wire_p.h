#pragma once

#include "skylarkwind/peer.capnp.h"
#include "skylarkwind/peer_messages.h"

#include <string>
#include <vector>

/// Conversions between the core's structs and their Cap'n Proto form.
namespace skylarkwind {

void Encode(const daemon_location& aLocation, wire::Location::Builder aOut);
daemon_location Decode(wire::Location::Reader aIn);

void Encode(const member_update& aUpdate, wire::MemberUpdate::Builder aOut);
member_update Decode(wire::MemberUpdate::Reader aIn);

/// `probe_message` and `probe_reply` have the same body.
template<class message>
void
EncodeGossip(const message& aMessage, wire::Gossip::Builder aOut)
{
  Encode(aMessage.mSender, aOut.initSender());
  auto updates = aOut.initUpdates(static_cast<unsigned>(aMessage.mUpdates.size()));
  for (unsigned i = 0; i < updates.size(); ++i) {
    Encode(aMessage.mUpdates[i], updates[i]);
  }
  auto documents = aOut.initDocuments(static_cast<unsigned>(aMessage.mDocuments.size()));
  for (unsigned i = 0; i < documents.size(); ++i) {
    documents[i].setName(aMessage.mDocuments[i].mName);
    documents[i].setVersion(aMessage.mDocuments[i].mVersion);
  }
}

template<class message>
message
DecodeGossip(wire::Gossip::Reader aIn)
{
  message result;
  result.mSender = Decode(aIn.getSender());
  for (const auto update : aIn.getUpdates()) {
    result.mUpdates.push_back(Decode(update));
  }
  for (const auto document : aIn.getDocuments()) {
    result.mDocuments.push_back({ document.getName(), document.getVersion() });
  }
  return result;
}

} // namespace skylarkwind

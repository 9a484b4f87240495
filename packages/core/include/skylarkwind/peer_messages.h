#pragma once

#include "skylarkwind/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

enum class member_state
{
  Alive,
  Suspect,
  Dead,
  Left
};

/// State of one daemon as reported by another. The pair (start id, refutation count) is the
/// incarnation number of SWIM.
struct member_update
{
  process_id mProcess;
  daemon_location mLocation;
  std::uint64_t mRefutation = 0;
  member_state mState = member_state::Alive;
  bool operator==(const member_update&) const = default;
};

/// Version of one distributed document: the table or the fleet object of a data centre.
struct document_version
{
  std::string mName; ///< "table" or "fleet/<data centre>"
  std::uint64_t mVersion = 0;
  bool operator==(const document_version&) const = default;
};

/// Direct probe. Carries membership updates and document versions. The document name "members" is
/// reserved for membership: its version is a checksum of the sender's list of live processes.
struct probe_message
{
  member_update mSender;
  std::vector<member_update> mUpdates;
  std::vector<document_version> mDocuments;
};

struct probe_reply
{
  member_update mSender;
  std::vector<member_update> mUpdates;
  std::vector<document_version> mDocuments;
};

/// Asks the receiver to probe `mTarget` on behalf of the sender.
struct indirect_probe
{
  member_update mSender;
  member_update mTarget;
};

struct indirect_probe_reply
{
  bool mReached = false;
};

/// A document pushed down the distribution tree.
struct push_document
{
  std::string mName;
  std::uint64_t mVersion = 0;
  std::string mValue; ///< JSON text
  /// Subtree of the receiver: the daemons that it forwards the document to.
  std::vector<daemon_location> mForwardTo;
};

/// Requests a document if the receiver has a version above `mAfterVersion`.
struct pull_document
{
  std::string mName;
  std::uint64_t mAfterVersion = 0;
};

/// The reply to `push_document` and `pull_document`; `mVersion` is 0 when the sender has no newer
/// version.
struct document_reply
{
  std::string mName;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

/// Asks the preferred owner of a claim shard to record a claim or its outcome. `mEntry` is the JSON
/// text of the entry; the attempt id in it decides.
struct claim_message
{
  std::uint32_t mShard = 0;
  std::string mKey;
  std::string mEntry;
};

/// The entry that is now stored. When the owner could not settle the claim: the requested entry if
/// the owner has not written it and will not, or an empty one if it may still be stored.
struct claim_reply
{
  bool mSettled = false;
  std::string mEntry;
};

using peer_message =
  std::variant<probe_message, indirect_probe, push_document, pull_document, claim_message>;
using peer_reply = std::variant<probe_reply, indirect_probe_reply, document_reply, claim_reply>;

} // namespace skylarkwind

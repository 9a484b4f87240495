#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

struct membership_settings
{
  process_id mSelf;
  daemon_location mLocation;
  std::vector<std::string> mSeeds; ///< ip:port of other daemons
  std::chrono::milliseconds mProbePeriod{ 1'000 };
  std::chrono::milliseconds mProbeTimeLimit{ 300 };
  std::chrono::milliseconds mSuspicionTime{ 5'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Which daemons are alive. Probes random members, suspects before it declares death, and spreads
/// updates on its probes, so that the cost of one daemon does not grow with their number.
class membership
{
public:
  static absl::StatusOr<std::unique_ptr<membership>> Create(membership_settings aSettings);
  virtual ~membership() = default;

  virtual const process_id& Self() const = 0;
  virtual const daemon_location& Location() const = 0;

  /// The daemons that are not known to be dead, this one included, sorted by process. Suspects
  /// count as live.
  virtual std::span<const member_update> Live() const = 0;

  /// False only when a process is known to be dead, has left or was replaced on its VM.
  virtual bool MayBeAlive(const process_id& aProcess) const = 0;

  /// Versions that this daemon's probes carry.
  virtual void SetDocuments(std::span<const document_version> aDocuments) = 0;

  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// Handles `probe_message` and `indirect_probe`; true when the message was one of these.
  virtual bool OnPeerAsked(const peer_asked& aAsked, instant aNow, effect_list& aOut) = 0;
  /// True when the call was this aggregate's.
  virtual bool OnPeerAnswered(const peer_answered& aAnswered, instant aNow, effect_list& aOut) = 0;
  /// Entry VMs of the list become seeds; a VM that is leaving or missing changes no member by
  /// itself.
  virtual void OnVmList(const vm_list& aList, instant aNow) = 0;
  /// Tells the others that this daemon leaves.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// Document versions seen at others since the last call, with the address to pull from.
  struct seen_document
  {
    document_version mDocument;
    std::string mAddress;
  };
  virtual std::vector<seen_document> TakeSeenDocuments() = 0;

  /// The highest version of a document that this live process was heard to have in force, from its
  /// own probes and replies; empty when not heard yet. A value is at most about one round of probes
  /// old.
  virtual std::optional<std::uint64_t> SeenVersion(const process_id& aProcess,
                                                   std::string_view aDocument) const = 0;
};

} // namespace skylarkwind
